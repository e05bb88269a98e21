"""Exchanges with other nodes and with the upstream."""
