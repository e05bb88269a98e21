"""Settings, operator documents and their validation."""
