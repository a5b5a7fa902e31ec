"""Which gateways serve: failure detection and dissemination between them, without a server.

`swim.SwimNode` is one member's protocol core (events in, messages out) and is put together from:

- `view`: what this member knows of the others, and the sums by which two views are compared;
- `update_rules`: which update overrides what is known, and how this member refutes a suspicion of itself;
- `failure_detector`, `suspicion`, `reconnection`: probes, indirect probes, suspicions, search for the lost;
- `dissemination`, `shared_results`, `transmission`, `rate_limit`: what rides on which message, and how many
  go out;
- `anti_entropy`: comparison of two views.

`messages` and `codec` are the wire, `parameters` the intervals and limits, `errors` the typed errors.
"""
