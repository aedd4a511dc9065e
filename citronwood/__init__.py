"""Database proxy that keeps session consistency."""

__version__ = "0.1.0"
