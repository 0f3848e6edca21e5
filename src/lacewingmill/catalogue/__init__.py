"""Service files: validation, publishing and the configuration in force."""
