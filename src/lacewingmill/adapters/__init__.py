"""Adapters: implementations of the ports by libraries and protocols."""
