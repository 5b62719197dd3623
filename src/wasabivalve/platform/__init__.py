"""Adapter to the users' platform; nothing outside this package knows its names."""
