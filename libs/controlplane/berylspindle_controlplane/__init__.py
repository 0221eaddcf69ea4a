"""Control plane: configuration, intents, membership and ownership."""
