"""Runs of calls on the local upstream."""
