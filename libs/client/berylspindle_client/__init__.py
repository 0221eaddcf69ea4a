"""Clients of the callers' and the operators' interfaces."""
