"""`kestrelbend check` on the tier's files: settings of a process, the operator's configuration."""

import contextlib
import io
import json
import pathlib
import shutil
import tempfile

import testtools

from kestrelbend.__main__ import serve
from kestrelbend.command.application import run
from tests.tier.test_configuration_document import document, route
from tests.tier.test_settings import FULL


class CheckTest(testtools.TestCase):
    """One file at a time."""

    def setUp(self):
        super().setUp()
        self.folder = pathlib.Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, self.folder)

    def check(self, name, text, *words):
        """(exit code, lines of output)."""
        path = self.folder / name
        path.write_text(text)
        said = io.StringIO()
        with contextlib.redirect_stdout(said), contextlib.redirect_stderr(said):
            code = run(["check", str(path), *words], serve)
        return code, said.getvalue().replace(f"{self.folder}/", "").splitlines()

    def test_given_a_day_then_its_troubles_must_say_what_happens_and_when(self):
        usable = 'name = "cut"\nseed = 7\nfaults = [{ at = 1.5, kind = "core_cut", for_s = 20 }]\n'
        self.assertEqual((0, ["day.toml: a usable day file"]), self.check("day.toml", usable))
        for broken in ("kind = 3", "at = -1", 'kind = ""', "at = 1"):
            code, lines = self.check("day.toml", f'name = "cut"\nseed = 7\nfaults = [{{ {broken} }}]\n')
            self.assertEqual((2, True), (code, lines[0].startswith("day.toml: ")), lines)
        self.assertEqual(2, self.check("day.toml", 'name = "cut"\nseed = "x"\nfaults = []\n')[0])
        self.assertEqual(2, self.check("day.toml", "faults = [", "--kind", "day")[0])

    def test_given_usable_files_then_their_kind_is_guessed_and_told(self):
        self.assertEqual((0, ["boot.yaml: a usable boot file"]), self.check("boot.yaml", FULL))
        text = json.dumps(document())
        self.assertEqual((0, ["c.json: a usable document file"]), self.check("c.json", text))
        self.assertEqual(0, self.check("settings", FULL, "--kind", "boot")[0])
        self.assertEqual(0, self.check("configuration", text, "--kind=document")[0])

    def test_given_settings_with_faults_then_all_are_told(self):
        code, lines = self.check("boot.yml", "Ip: here\nPortRange: [9, 1]\nBounds: {AckMs: no}\n")
        self.assertEqual(2, code)
        keys = {line.split(": ")[1] for line in lines}
        self.assertEqual({"Node", "Ip", "Zone", "PortRange", "Bounds.AckMs"}, keys)

    def test_given_a_configuration_with_faults_then_all_are_told_with_its_name(self):
        routes = [route("a", "/a/", Upstream="red"), route("b", "b", TimeoutMs=0)]
        code, lines = self.check("c.json", json.dumps(document(Routes=routes)))
        self.assertEqual((2, 3), (code, len(lines)))
        self.assertTrue(all(line.startswith("c.json: ") for line in lines))

    def test_given_a_file_that_is_no_json_or_yaml_then_one_line_tells(self):
        for name, text in (("c.json", '{"Routes": ['), ("boot.yaml", "a: [")):
            code, lines = self.check(name, text)
            self.assertEqual((2, 1), (code, len(lines)))
