"""Admission of requests to the local upstream."""
