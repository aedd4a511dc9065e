"""Limits for callers outside of our control: connections, bytes and time."""
