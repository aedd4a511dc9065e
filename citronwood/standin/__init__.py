"""Stand-ins for the platform and for database members, for demo and tests."""
