"""Benchmarks with their bounds, run by ``make bench``.

They live outside the package because they start processes, which no command of the
product does.
"""
