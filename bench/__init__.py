"""Simulations of the scheduler on virtual time; load, fault and cost tests of real processes."""
