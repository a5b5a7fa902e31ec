"""Chance: numpy's generators, one for each thing that draws, seeded by its name.

A change that draws once more somewhere leaves all other draws as they were, so that two runs with one seed
meet the same arrivals and the same failures.
"""

from __future__ import annotations

import numpy

from ..gateway.keys import stable_hash


class Streams:
    def __init__(self, seed):
        self.seed, self.made = seed, {}

    def of(self, name):
        if name not in self.made:
            self.made[name] = numpy.random.Generator(numpy.random.PCG64([self.seed, stable_hash(name)]))
        return self.made[name]


class Drawn:
    """Single draws from one stream, taken from it a block at a time: a call into numpy for each would cost
    more than all else in an event."""

    def __init__(self, stream, block=1024):
        self.stream, self.block = stream, block
        self.uniforms, self.exponentials, self.normals = [], [], []

    def random(self):
        """0 to 1, without 1."""
        if not self.uniforms:
            self.uniforms = self.stream.random(self.block).tolist()
        return self.uniforms.pop()

    def exponential(self):
        """Of mean 1."""
        if not self.exponentials:
            self.exponentials = self.stream.standard_exponential(self.block).tolist()
        return self.exponentials.pop()

    def normal(self):
        if not self.normals:
            self.normals = self.stream.standard_normal(self.block).tolist()
        return self.normals.pop()

    def below(self, count):
        return int(self.random() * count)
