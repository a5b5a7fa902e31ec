"""The backends that exist, by their own heartbeats."""
