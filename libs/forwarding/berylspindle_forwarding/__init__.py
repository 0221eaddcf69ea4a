"""Forward callers' requests to replicas according to a routing table."""
