"""Who is part of the tier, and which nodes watch which."""
