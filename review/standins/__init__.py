"""Stand-ins of the review's scripts: store, replicas and clients as the users' pages describe."""
