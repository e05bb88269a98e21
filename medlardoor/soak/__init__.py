"""Randomized soak of real node processes with faults from outside."""
