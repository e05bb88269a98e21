"""Tasks of a node other than handling calls, and requests between nodes."""
