"""The processes of the tier, put together from its parts."""
