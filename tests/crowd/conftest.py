"""Runs one test of this directory at a time, also where several workers run the suite."""

import fcntl
import pathlib
import resource
import tempfile

import pytest

LOCK_FILE = pathlib.Path(tempfile.gettempdir()) / "kestrelbend-crowd-tests.lock"


@pytest.fixture(autouse=True)
def alone():
    """Holds the lock of these tests; lets this process open as many descriptors as the machine allows."""
    _, hard_limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard_limit, hard_limit))
    with LOCK_FILE.open("w") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        yield
