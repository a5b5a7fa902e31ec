"""The rules that a day must keep, by concern; `watch.py` carries them.

    violations  each broken rule is reported once
    groups      shards: one owner an epoch, complete groups, replicas that keep up
    contact     control nodes: nothing claimed out of contact, nothing old as current
    gateways    gateways: the configuration in force, backends that drain
    calm        what must hold at the end of a day, when nothing is at fault any more

A rule reads the state of processes and never changes it, so that a day goes the same way without it; those
of `calm` also send an order and begin programs.
"""
