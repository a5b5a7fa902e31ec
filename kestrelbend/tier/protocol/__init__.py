"""What processes of the tier say to each other."""
