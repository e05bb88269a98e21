"""Tests of promotion."""
