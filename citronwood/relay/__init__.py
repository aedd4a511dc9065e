"""Relay of callers' sessions to database groups that the platform runs."""
