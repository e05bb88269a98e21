"""Control work of a node beside its calls."""
