"""Membership of service groups and discovery of services."""
