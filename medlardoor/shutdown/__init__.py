"""Planned stops."""
