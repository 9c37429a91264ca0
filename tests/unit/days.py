"""Days that tools/days writes for the bench."""

import importlib.machinery
import importlib.util
import pathlib
import subprocess
import sys
import tempfile
import tomllib
import unittest

TOOL = pathlib.Path(__file__).resolve().parents[2] / "tools" / "days"
sys.dont_write_bytecode = True
LOADER = importlib.machinery.SourceFileLoader("days", str(TOOL))
DAYS = importlib.util.module_from_spec(importlib.util.spec_from_loader("days", LOADER))
LOADER.exec_module(DAYS)
write = DAYS.write_day

# Prints what the bench prints of a day, which breaks a rule at seed 2 and is not played at seed 3.
BENCH = """#!/bin/sh
[ "$5" = 3 ] && exit 1
echo "day                  own/srv  score  worth served refused failed  weakest part"
[ "$5" = 2 ] && broken="  BROKEN: STALE 590 (else 0.76)"
echo "two-branches             7/3   0.00  0.763  0.832   0.124  0.003  worst windows 0.56$broken"
"""
FORMS = {"losses": (60, 92), "mixed": (60, 92), "single": (20, 30)}


def run(*arguments):
    return subprocess.run([sys.executable, TOOL, *arguments], capture_output=True, text=True)


class Days(unittest.TestCase):
    # Guards against a broken day that its seed does not bring back.
    def test_same_seed_same_text(self):
        for form in FORMS:
            texts = {run("write", "--form", form, "7").stdout for _ in range(2)}
            self.assertEqual(texts, {write(form, 7)})
            self.assertNotEqual(write(form, 7), write(form, 8))

    # Guards against days that the bench cannot read, or that leave no time to recover.
    def test_valid_days(self):
        for form, (shortest, longest) in FORMS.items():
            for seed in range(1, 21):
                day = tomllib.loads(write(form, seed))
                entries = day["plan"] + day["faults"]
                self.assertTrue(shortest <= day["length_s"] <= longest)
                self.assertTrue(entries)
                self.assertTrue(all(0.5 <= entry["at"] <= day["length_s"] - 4 for entry in entries))
                if form == "mixed":
                    self.assertTrue(4 <= len(entries) <= 30)

    # Guards against planned work, which the bench announces, among the faults.
    def test_planned_work_under_plan(self):
        for seed in range(1, 21):
            day = tomllib.loads(write("mixed", seed))
            self.assertNotIn("release", [entry["kind"] for entry in day["faults"]])
            self.assertNotIn("zone_cut", [entry["kind"] for entry in day["plan"]])

    # Guards against rounds of the form "losses" with a single loss.
    def test_losses_follow_each_other(self):
        for seed in range(1, 21):
            day = tomllib.loads(write("losses", seed))
            times = sorted(entry["at"] for entry in day["plan"] + day["faults"])
            self.assertTrue(all(any(0 <= abs(other - at) <= 4.0 for j, other in enumerate(times) if i != j)
                                for i, at in enumerate(times)))

    def test_length(self):
        self.assertEqual(tomllib.loads(run("write", "3", "--length", "45").stdout)["length_s"], 45)

    # Guards against a run on other days than those that were meant.
    def test_bad_options_refused(self):
        for arguments in (["write"], ["write", "x"], ["write", "-1"], ["write", "1", "--form", "other"],
                          ["write", "1", "--length", "19"], ["write", "1", "--length", "301"],
                          ["play", "site.toml", "5-1", "--bench", "x"], ["play", "site.toml", "a-b", "--bench", "x"],
                          ["play", "site.toml", "1-2", "--bench", "x", "--jobs", "0"], ["other"], []):
            self.assertEqual(run(*arguments).returncode, 2, arguments)
        self.assertEqual(run("--help").returncode, 0)

    # Guards against a broken day, or one that was not played, that is reported as held.
    def test_broken_days_reported(self):
        with tempfile.TemporaryDirectory() as directory:
            bench = pathlib.Path(directory) / "bench"
            bench.write_text(BENCH)
            bench.chmod(0o755)
            for seeds, code, last in (("1", 0, "1 played, 0 broken, 0 not played"), ("1-2", 1, "2 played, 1 broken, 0 not played"),
                                      ("1-3", 3, "2 played, 1 broken, 1 not played")):
                played = run("play", "site.toml", seeds, "--bench", str(bench), "--keep", directory)
                self.assertEqual((played.returncode, played.stdout.splitlines()[-1]), (code, last))
            self.assertIn("losses seed 2: served 0.832 worth 0.763 broken STALE 590", played.stdout.splitlines())
            self.assertEqual({path.name for path in pathlib.Path(directory).glob("site-*")},
                             {"site-losses-2.toml", "site-losses-2.log", "site-losses-3.toml", "site-losses-3.log"})


if __name__ == "__main__":
    unittest.main()
