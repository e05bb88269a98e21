"""Metrics and service-level burn."""
