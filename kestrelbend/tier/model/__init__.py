"""A model of the replication core, searched exhaustively: the real `Replica`, any fault at any step."""
