"""Metrics, logs, the hybrid logical clock and the timeline."""
