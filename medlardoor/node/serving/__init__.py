"""The way of a call from its caller to the node that runs it."""
