"""State shared by the controllers of one node."""
