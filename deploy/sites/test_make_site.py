"""Tests of make_site.py: python3 -m unittest discover deploy/sites"""

import copy
import subprocess
import sys
import tempfile
import tomllib
import unittest
from pathlib import Path

SCRIPT = Path(__file__).with_name("make_site.py")

SITE = """
name = "plain"
[load]
quiet = [0.1, 0.2]
even = true
[[tier]]
name = "caches"
[tier.conn]
streams = 8
[[class]]
name = "first"
share = [1, 2]
effect = "safe"
[[class]]
name = "second"
share = 3
effect = "keyed"
window_ms = 900
[fam]
room = 1.5
[[fam.class]]
parts = [2, 4]
[[fam.class]]
parts = 1
[[trouble]]
name = "crash"
len_s = [5, 2]
"""


class MakeSite(unittest.TestCase):
    """Runs the script as a process on a small site."""

    def setUp(self) -> None:
        """Writes the site and its companions to an empty folder."""
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        self.folder = Path(temporary.name)
        self.site = self.folder / "plain.toml"
        self.site.write_text(SITE)
        for name in ("real.json", "wire.json", "unlock.txt"):
            (self.folder / name).write_text(f"text of {name}")

    def run_script(self, values: str) -> subprocess.CompletedProcess[str]:
        """Runs the script on the site with these values."""
        path = self.folder / "values.toml"
        path.write_text(values)
        command = [sys.executable, str(SCRIPT), str(self.site), str(path), "--out", str(self.folder / "out")]
        return subprocess.run(command, capture_output=True, text=True, check=False)

    def variant(self, values: str) -> dict[str, object]:
        """Returns the variant that the script writes."""
        result = self.run_script(values)
        self.assertEqual((0, ""), (result.returncode, result.stderr))
        return tomllib.loads(Path(result.stdout.strip()).read_text())

    def assert_refused(self, values: str, message: str) -> None:
        """Checks that the script names the fault in one line, exits with 2 and writes nothing."""
        result = self.run_script(values)
        self.assertEqual((2, f"make_site: {message}\n"), (result.returncode, result.stderr))
        self.assertFalse((self.folder / "out").exists())

    def test_name_alone_changes_nothing_else(self) -> None:
        expected = tomllib.loads(SITE) | {"name": "other"}
        self.assertEqual(expected, self.variant('name = "other"'))

    def test_companions_are_copied(self) -> None:
        self.variant('name = "other"')
        self.assertEqual("text of wire.json", (self.folder / "out" / "wire.json").read_text())

    def test_values_are_set_by_path(self) -> None:
        expected = copy.deepcopy(tomllib.loads(SITE)) | {"name": "other"}
        expected["load"]["quiet"] = 0.3
        expected["tier"][0]["conn"]["streams"] = [4, 6]
        expected["trouble"][0]["len_s"] = [9, 3]
        changes = "load.quiet = 0.3\ntier.1.conn.streams = [4, 6]\ntrouble.1.len_s = [9, 3]"
        self.assertEqual(expected, self.variant(f'name = "other"\n[set]\n{changes}'))

    def test_classes_are_dropped_copied_and_renamed(self) -> None:
        variant = self.variant(
            'name = "other"\n[[class]]\ncopy = 2\nname = "late"\nset.window_ms = 400\nobjects.parts = [3, 5]\n'
            '[[class]]\ncopy = 2\nname = "soon"\n'
        )
        late = {"name": "late", "share": 3, "effect": "keyed", "window_ms": 400}
        soon = {"name": "soon", "share": 3, "effect": "keyed", "window_ms": 900}
        self.assertEqual([late, soon], variant["class"])
        self.assertEqual([{"parts": [3, 5]}, {"parts": 1}], variant["fam"]["class"])

    def test_a_class_may_get_a_key_of_another_class(self) -> None:
        variant = self.variant('name = "other"\n[[class]]\ncopy = 1\nname = "a"\nset.window_ms = 100\n')
        self.assertEqual(100, variant["class"][0]["window_ms"])

    def test_faults_are_named(self) -> None:
        one_class = '[[class]]\ncopy = 1\nname = "a"\n'
        name = 'name = "other"\n'
        text = "lower-case letters, digits and hyphens expected, found"
        faults = [
            ("", f"name: {text} null"),
            ('name = "../x"', f'name: {text} "../x"'),
            (name + "nmae = 1", "nmae: unknown key"),
            (name + "[set]\nload.quite = 1", "load.quite: unknown key"),
            (name + "[set]\nload = 1", "load: a table is expected here"),
            (name + "[set]\nload.quiet.low = 1", "load.quiet: a value is expected here, not a table"),
            (name + '[set]\nload.quiet = "low"', 'load.quiet: number expected, found "low"'),
            (name + "[set]\nload.even = 1", "load.even: flag expected, found 1"),
            (name + "[set]\nload.quiet = [1, 2, 3]", "load.quiet: a range has two numbers, found [1, 2, 3]"),
            (name + "[set]\nload.quiet = -1", "load.quiet: numbers from 0 up expected, found -1"),
            (name + "[set]\nload.quiet = nan", "load.quiet: numbers from 0 up expected, found NaN"),
            (name + "[set]\ntier.2.name = 'x'", "tier.2: a number from 1 to 1 expected, found 2"),
            (name + "[set]\nfam.class.1.parts = 1", "set.fam.class: is given with the class, under objects"),
            (name + "[set]\nclass.1.share = 1", "set.class: is given at the top of the file"),
            (name + '[[class]]\nname = "a"', "class 1.copy: a number from 1 to 2 expected, found "),
            (name + '[[class]]\ncopy = 3\nname = "a"', "class 1.copy: a number from 1 to 2 expected, found 3"),
            (name + "[[class]]\ncopy = 1", f"class 1.name: {text} null"),
            (name + one_class + one_class, "class 2.name: a is taken"),
            (name + one_class + "sett.share = 1", "class 1.sett: unknown key"),
            (name + one_class + "set.name = 'b'", "class 1.set.name: is given with the class"),
            (name + one_class + "set.shares = 1", "class 1.set.shares: unknown key"),
            (name + one_class + "objects.parts = 'x'", 'class 1.objects.parts: number expected, found "x"'),
        ]
        for values, message in faults:
            with self.subTest(message):
                self.assert_refused(values, message)

    def test_a_file_that_is_no_toml_is_named(self) -> None:
        result = self.run_script("name = ")
        self.assertEqual(2, result.returncode)
        self.assertIn(f"make_site: {self.folder / 'values.toml'}: ", result.stderr)

    def test_a_missing_companion_is_named(self) -> None:
        (self.folder / "wire.json").unlink()
        self.assert_refused('name = "other"', f"{self.folder / 'wire.json'}: missing beside the site file")


if __name__ == "__main__":
    unittest.main()
