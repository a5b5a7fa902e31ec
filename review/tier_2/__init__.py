"""Stand-ins of the second review: a deployment of real processes, backends, clients and the operator."""
