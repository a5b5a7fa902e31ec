"""Worker processes of a test, forked from a process that may hold what other tests left behind."""

import gc
import multiprocessing


def forked_pool(processes):
    """A pool of so many forked processes, which leave alone what was allocated before them.

    Hazard: a garbage collection in a child would run the finalizers of objects that it has inherited.  One
    of gRPC's waits there for a thread that exists in the parent alone, for ever.  What is garbage is
    collected here, and the rest is frozen in the children.
    """
    gc.collect()
    gc.freeze()
    try:
        return multiprocessing.get_context("fork").Pool(processes)
    finally:
        gc.unfreeze()
