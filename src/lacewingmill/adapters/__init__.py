"""Adapters: implementations of the ports with concrete libraries and protocols."""
