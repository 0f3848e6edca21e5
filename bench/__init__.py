"""Experiments: the decision core on virtual time, load on real processes, and measurements."""
