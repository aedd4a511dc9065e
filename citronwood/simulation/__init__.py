"""Simulation of the relay with its platform, backend servers and callers.

The processes of the VMs run unchanged in one event loop, with virtual time and a
network in memory.
"""
