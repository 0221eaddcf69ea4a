"""Stand-ins of the platform, backend servers and replicas for tests and emulation."""
