"""Integration with the platform: its services, wire protocol and settings file."""
