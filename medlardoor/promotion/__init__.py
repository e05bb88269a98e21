"""Promotion of operator documents to the platform."""
