"""Demonstration, load generation, experiments and checks of recorded histories."""
