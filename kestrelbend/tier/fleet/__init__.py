"""The whole tier in one process on virtual time: the real processes over links, disks and machines in memory.

    loop, network, connection    virtual time, and connections between machines in memory
    disks, http                  files in memory, and calls from outside
    machines, settings           processes and their environment; what the platform writes for them
    topology                     zones, delays, and the published control addresses
    fleet, contact               all machines and what is done to them; which of them are in contact
    operator, backends, programs the callers, each with the rules of the answers that it gets
    rules, watch, answers        what must hold throughout a day, and in the calm at its end
    faults, day, world           the kinds of fault, a day drawn by a seed, and how a day or a story is played
    guards, mutations            checks of the tier, and what takes their place to prove that a search notices

Invariant: a day depends on its seed alone.  What draws by chance has a generator of its own, seeded by a text
that never changes, and kinds of fault are drawn from their sorted names; neither is ever renamed.
"""
