"""Client requests: ordinary routes go to executors, job routes to the owner of the cell."""
