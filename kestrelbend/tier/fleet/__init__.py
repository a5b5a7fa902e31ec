"""The whole tier in one process on virtual time: the real processes over links, disks and machines in memory.

`Fleet` (fleet.py) is the world, `watch.py` checks the rules throughout, `day.py` plays a day of faults.
"""
