"""The daemon `berylspindled`."""
