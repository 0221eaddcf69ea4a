"""Clients of the configuration store and of the VM list."""
