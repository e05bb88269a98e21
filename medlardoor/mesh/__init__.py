"""Data path of a node: calls between instances over multiplexed links."""
