"""External authorization: other proxies ask the same decisions, and authorisers are asked."""
