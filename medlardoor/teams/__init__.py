"""Teams: the keys of their callers and the limits on their requests."""
