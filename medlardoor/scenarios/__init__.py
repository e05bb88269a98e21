"""Scenario scripts on real processes."""
