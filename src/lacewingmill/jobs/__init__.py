"""Jobs made of steps: accepted by any VM, directed by one, kept in the platform's store."""
