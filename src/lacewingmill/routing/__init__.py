"""Requests of callers: ordinary ones to executors, job routes to the cell's owner."""
