"""The operators' command-line tool `berylspindle`."""
