"""Benchmarks of the decision classes."""
