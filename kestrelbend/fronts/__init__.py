"""Further fronts: other proxies' protocols on the same decisions."""
