"""Service files: checking, publishing and keeping the accepted configuration in force."""
