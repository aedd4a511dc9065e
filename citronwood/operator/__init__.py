"""Operator API, metrics page and diagnosis of requests."""
