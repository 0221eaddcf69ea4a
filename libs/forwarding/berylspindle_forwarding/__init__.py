"""Forward callers' requests to replicas by a routing table."""
