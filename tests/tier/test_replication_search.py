"""A seeded search: machines, links and disks fail by chance, the shard's promises hold, and calm heals.

`python -m tests.tier.test_replication_search FIRST LAST` runs seeds; each failure names its own.
"""

import sys

import testtools

from kestrelbend.tier.replication import Timing
from tests.tier.replication_harness import Cluster

SEEDS = 200
HURRIED = Timing(  # more leaders and snapshots in the same time
    heartbeat=0.04,
    election_timeout=0.2,
    rank_step=0.04,
    leader_stickiness=0.12,
    pre_vote_interval=0.06,
    pre_vote_backoff=0.1,
    reply_timeout=0.12,
    disk_stall=0.5,
    snapshot_retry=0.3,
    tail_entries=0,
)
STORM_S = 4.0
COMPACTION_CHANCE = 0.1
PROGRESS_S = 2.0  # after calm, until a command must be committed


class Storm:
    """One seed's troubles: at every tick something may break, or be mended."""

    def __init__(self, seed):
        names = "abcde" if seed % 3 == 0 else "abc"
        others = "xy" if seed % 2 else ""
        timing = HURRIED if seed % 5 else Timing()
        self.cluster = Cluster(names, others, seed, timing)
        self.random = self.cluster.random
        self.lost_disks = 0
        self.proposed = 0
        self.harshness = self.random.choice((0.05, 0.15, 0.4))
        self.cluster.links.loss = self.random.choice((0.0, 0.02, 0.2))
        self.cluster.links.duplication = self.random.choice((0.0, 0.1))
        self.cluster.links.delay_jitter = self.random.choice((0.0, 0.01, 0.15))
        for node in self.cluster.nodes.values():
            node.disk_delay = self.random.choice((0.001, 0.01, 0.1, 0.25))

    def run(self):
        self.cluster.run(self.random.choice((0.3, 1.0)))
        end = self.cluster.now + STORM_S
        while self.cluster.now < end:
            if self.random.random() < self.harshness:
                self.trouble()
            self.work()
            self.cluster.run(0.02)
        self.check_progress()
        self.check_group()

    def work(self):
        node = self.random.choice(list(self.cluster.nodes.values()))
        if node.is_running and self.random.random() < COMPACTION_CHANCE:
            self.cluster.compact(node.name)
            self.cluster.checkpoint(node.name)
        if node.is_running and node.replica.is_leader:
            for _ in range(self.random.choice((0, 1, 5))):
                self.proposed += 1
                self.cluster.propose(b"command %d" % self.proposed, node)
            self.cluster.confirm_read(node)

    def trouble(self):
        """Breaks something, or mends something broken."""
        cluster = self.cluster
        node = self.random.choice([*cluster.nodes.values(), cluster.leader() or cluster.nodes["a"]])
        name = node.name
        if node.replica is None:
            cluster.start(name)
        elif node.frozen:
            cluster.thaw(name)
        elif node.stalled:
            cluster.resume_disk(name)
        elif cluster.links.cut and self.random.random() < 0.5:
            cluster.heal()
        else:
            self.break_one(name)

    def break_one(self, name):
        cluster = self.cluster
        kinds = (
            "power",
            "bounce",
            "bounce",
            "bounce",
            "freeze",
            "stall",
            "isolate",
            "cut",
            "transfer",
            "set_target",
            "set_target",
        )
        kind = self.random.choice((*kinds, "blackout", "wipe"))
        if kind == "power":
            cluster.lose_power(name)
        elif kind == "bounce":
            cluster.lose_power(name)
            cluster.start(name)
        elif kind == "freeze":
            cluster.freeze(name)
        elif kind == "stall":
            cluster.stall_disk(name)
        elif kind == "isolate":
            cluster.isolate(name)
        elif kind == "cut":
            cluster.cut(name, self.random.choice(list(cluster.nodes)))
        elif kind == "transfer" and cluster.leader():
            cluster.transfer()
        elif kind == "set_target":
            self.set_target()
        elif kind == "blackout":
            self.blackout()
        elif kind == "wipe":
            self.wipe(name)

    def blackout(self):
        """Power is lost everywhere, at times with one disk for good."""
        names = list(self.cluster.nodes)
        self.cluster.lose_power(*names)
        if self.random.random() < 0.5:
            self.wipe(self.random.choice(names))
        for name in names:
            self.cluster.start(name)

    def wipe(self, name):
        """A disk is lost: no second one before the group has replaced the first."""
        if self.lost_disks == 0:
            self.lost_disks += 1
            self.cluster.wipe(name)
            self.cluster.start(name)

    def set_target(self):
        names = list(self.cluster.nodes)
        self.random.shuffle(names)
        self.cluster.set_target(names[: self.random.choice((3, 3, 4, 5))])

    def calm(self):
        """All machines run, links and disks are sound; lost disks stay lost."""
        cluster = self.cluster
        cluster.heal()
        cluster.links.loss = cluster.links.duplication = 0.0
        cluster.links.delay_jitter = 0.005
        for node in cluster.nodes.values():
            node.disk_delay = 0.002
            if node.replica is None:
                cluster.start(node.name)
            if node.frozen:
                cluster.thaw(node.name)
            cluster.resume_disk(node.name)

    def check_progress(self):
        cluster = self.cluster
        self.calm()
        end = cluster.now + PROGRESS_S
        command = b"after the storm"
        while cluster.now < end and not cluster.committed(command):
            cluster.propose(command)
            cluster.run(0.02)
        assert cluster.committed(command), f"no progress in {PROGRESS_S} s of calm"

    def check_group(self):
        """In calm, the group becomes its target, and all of it holds the whole history."""
        cluster = self.cluster
        names = self.random.sample(list(cluster.nodes), 3)
        target = tuple(cluster.nodes[name].identity for name in names)
        cluster.set_target(names)
        assert cluster.run_until(lambda: cluster.invariants.group == target, PROGRESS_S), (
            "not the group wished for"
        )
        cluster.run(0.5)
        assert cluster.leader().identity in target, "a leader outside of the group"
        for name in names:
            held = cluster.nodes[name].applied_index
            assert held == len(cluster.invariants.committed_entries), f"{name} lags in calm"


def failures(first, last):
    """The seeds that broke a promise, with what they broke."""
    found = []
    for seed in range(first, last):
        try:
            Storm(seed).run()
        except AssertionError as broken:
            found.append(f"seed {seed}: {broken}")
    return found


class SeededSearch(testtools.TestCase):
    def test_no_seed_breaks_a_promise(self):
        self.assertEqual([], failures(0, SEEDS))


if __name__ == "__main__":
    first, last = int(sys.argv[1]), int(sys.argv[2])
    broken = failures(first, last)
    print(*broken, sep="\n")
    print(f"{last - first} seeds, {len(broken)} failed")
    sys.exit(bool(broken))
