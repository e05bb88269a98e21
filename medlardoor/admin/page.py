"""The phone page: one HTML file without external resources."""

import importlib.resources

from medlardoor import admin

__all__ = ["PAGE"]

PAGE = importlib.resources.files(admin).joinpath("page.html").read_bytes()
