"""Forks worker processes for tests from a process that may still hold objects of other tests."""

import gc
import multiprocessing


def forked_pool(processes):
    """Returns a pool of forked processes that never collect the objects inherited from the parent.

    Hazard: a garbage collection in a child would run the finalizers of inherited objects.  A finalizer of
    gRPC waits forever there for a thread that exists only in the parent.  So garbage is collected here before
    the fork, and all other objects are frozen in the children.
    """
    gc.collect()
    gc.freeze()
    try:
        return multiprocessing.get_context("fork").Pool(processes)
    finally:
        gc.unfreeze()
