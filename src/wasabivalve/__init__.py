"""Route requests to servers that own their keys exclusively."""

__version__ = "0.1.0"

__all__ = ["__version__"]
