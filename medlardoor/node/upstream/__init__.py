"""Execution of calls on the local upstream."""
