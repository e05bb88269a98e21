"""Settings, documents and their checks."""
