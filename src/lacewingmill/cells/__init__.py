"""Cells: owner election, running gangs on workers, and recovery by a new owner."""
