"""The operator's configuration: checking, versions, routing."""
