"""Administration API and its page."""
