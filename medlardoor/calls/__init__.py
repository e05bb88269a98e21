"""What travels with a call, below the parts that decide about it."""
