"""Cells: who owns one, how its gangs are driven on workers, and how they are recovered."""
