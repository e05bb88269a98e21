"""Planned stop of a node."""
