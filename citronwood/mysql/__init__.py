"""Callers' side: the MySQL protocol towards applications."""
