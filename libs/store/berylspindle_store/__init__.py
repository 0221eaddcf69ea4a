"""Clients of the platform's configuration store and VM list, and claims in the store."""
