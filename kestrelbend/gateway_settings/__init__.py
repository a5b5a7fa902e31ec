"""Configuration: what may be stated, in which units, and what is wrong with a file, all at once."""
