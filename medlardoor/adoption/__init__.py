"""Adoption of promoted documents as the configuration in force."""
