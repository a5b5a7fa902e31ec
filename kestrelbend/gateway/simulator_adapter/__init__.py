"""The simulator adapter: runs gateway instances on the simulator's line protocol."""
