"""gRPC fronts; an optional extra (`kestrelbend[grpc]`), imported only where the configuration names one."""
