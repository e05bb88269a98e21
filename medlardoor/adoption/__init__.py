"""Adoption of promoted documents."""
