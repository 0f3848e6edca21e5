"""lacewingmill: a scheduler for multi-accelerator jobs under team guarantees."""

__all__ = ["__version__"]

__version__ = "0.1.0"
