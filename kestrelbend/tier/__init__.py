"""The serving tier: membership, configuration, discovery, budgets and the data plane (docs/design/tier.md)."""
