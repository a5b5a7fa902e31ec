"""The base of stories that are played in the in-memory fleet."""

import random

import logbook
import testtools

from kestrelbend.tier.fleet.faults import KINDS
from kestrelbend.tier.fleet.world import play


class FleetStory(testtools.TestCase):
    """Plays a story for some seeds; no rule may be broken."""

    def setUp(self):
        super().setUp()
        handler = logbook.NullHandler()
        handler.push_application()
        self.addCleanup(handler.pop_application)

    def tell(self, story, seeds=(1,), size=None):
        for seed in seeds:
            world = play(story, seed, size)
            self.assertEqual([], world.fleet.violations, "\n".join(world.fleet.log_lines[-40:]))

    def tell_kind(self, name, seeds=(1, 2)):
        async def story(world):
            await KINDS[name].play(world, random.Random(f"{name} {world.fleet.seed}"))

        self.tell(story, seeds)
