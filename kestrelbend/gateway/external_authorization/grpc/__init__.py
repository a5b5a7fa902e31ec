"""External authorization over gRPC, an optional extra, imported only where the configuration names one."""
