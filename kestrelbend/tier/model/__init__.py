"""Model checking of the replication core: runs the real `Replica` exhaustively with any fault at any step."""
