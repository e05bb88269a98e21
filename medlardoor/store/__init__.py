"""Clients of the object API of the platform."""
