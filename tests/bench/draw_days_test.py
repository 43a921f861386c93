"""Checks of drawn bench days: valid TOML, the same for the same seed, all fields within their ranges."""

import contextlib
import functools
import io
import sys
import tempfile
import tomllib
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))

from day_format import ALLOWED_WORDS, CLOSING_KINDS, NUMBER_RANGES, PLANNED_KINDS  # noqa: E402
from day_format import Closing, Day, DayError, Site, Trouble, day_to_toml, read_site, validate_day  # noqa: E402
from draw_days import main, parse_arguments  # noqa: E402
from points import POINTS, draw_day  # noqa: E402

SEEDS = range(1, 101)
SITE = Site("small", length_s=34.0, catch_up_s=5.0, zones=("zone-a", "zone-b", "zone-c"), services=("model",))
SITE_FILE = """
name = "small"
length_s = 34.0
zones = [{ name = "zone-a" }]
services = [{ name = "model" }]
[timing]
catch_up_s = 5.0
"""


@functools.cache
def drawn_tables(point: int) -> list[dict]:
    """The days of all seeds, read back from their TOML text."""
    return [tomllib.loads(day_to_toml(draw_day(SITE, point, seed)))["day"][0] for seed in SEEDS]


def entries(table: dict) -> list[dict]:
    """All planned and unplanned entries of a day."""
    return table["plan"] + table["faults"]


class DrawnDays(unittest.TestCase):
    """What is drawn for the five points."""

    def test_fields_are_within_their_ranges(self) -> None:
        for point in POINTS:
            for table in drawn_tables(point):
                for entry in entries(table):
                    with self.subTest(point=point, seed=table["seed"], entry=entry):
                        self.assertTrue(set(entry.get("how", "").split()) <= ALLOWED_WORDS[entry["kind"]])
                        self.assertLess(entry["at"], table["length_s"])
                        for name in NUMBER_RANGES.keys() & entry.keys():
                            least, most = NUMBER_RANGES[name]
                            self.assertTrue(least <= entry[name] <= most)

    def test_planned_work_stands_under_plan(self) -> None:
        for point in POINTS:
            for table in drawn_tables(point):
                for entry in table["plan"]:
                    self.assertTrue(entry["kind"] in PLANNED_KINDS or "planned" in entry["how"], entry)
                for entry in table["faults"]:
                    self.assertNotIn(entry["kind"], PLANNED_KINDS)

    def test_same_seed_gives_same_day_and_other_seeds_differ(self) -> None:
        for point in POINTS:
            texts = [day_to_toml(draw_day(SITE, point, seed)) for seed in SEEDS]
            self.assertEqual(texts, [day_to_toml(draw_day(SITE, point, seed)) for seed in SEEDS])
            self.assertEqual(len(set(texts)), len(texts))

    def test_each_point_draws_its_troubles(self) -> None:
        wanted = {
            1: {"core_cut", "evacuate", "config_change", "config_race", "big_config", "release"},
            2: {"ack_lost", "config_race", "config_change", "bad_config", "after_ack_kill", "node_kill"},
            3: {"replace_core", "retire", "add_nodes", "after_ack_wipe", "zone_loss"},
            4: {"config_storm", "core_cut", "node_freeze", "disk_slow", "disk_full", "disk_stall", "herd_kill"},
            5: {"garble", "answer_lost", "srv_cut", "reset_conns", "srv_grey", "node_freeze", "give_up",
                "replace_with_reuse", "srv_crash", "clock_step", "hup"},
        }
        for point, kinds in wanted.items():
            drawn = {entry["kind"] for table in drawn_tables(point) for entry in entries(table)}
            self.assertLessEqual(kinds, drawn)

    def test_cuts_of_the_first_point_last_15_to_20_seconds(self) -> None:
        for table in drawn_tables(1):
            cuts = [entry for entry in table["faults"] if entry["kind"] == "core_cut"]
            self.assertTrue(cuts)
            for cut in cuts:
                self.assertTrue(15 <= cut["for_s"] <= 20)

    def test_third_point_ends_with_a_closing_fault(self) -> None:
        for table in drawn_tables(3):
            self.assertIn(table["closing"]["kind"], CLOSING_KINDS)

    def test_fourth_point_makes_over_a_hundred_changes(self) -> None:
        for table in drawn_tables(4):
            storm = next(entry for entry in table["plan"] if entry["kind"] == "config_storm")
            self.assertGreater(storm["count"], 100)


class Validation(unittest.TestCase):
    """What is refused."""

    def refuse(self, day: Day) -> None:
        with self.assertRaises(DayError):
            validate_day(day)

    def test_bad_troubles_are_refused(self) -> None:
        for trouble in (
            Trouble("no_such_kind", 1.0),
            Trouble("core_cut", 1.0, how="sideways"),
            Trouble("core_cut", -1.0),
            Trouble("core_cut", 34.0),
            Trouble("core_cut", 1.0, for_s=0.0),
            Trouble("node_kill", 1.0, share=1.5),
            Trouble("node_kill", 1.0, share=0.5, count=1),
            Trouble("node_kill", 1.0, on="everything"),
        ):
            self.refuse(Day("bad", 1, 34.0, faults=[trouble]))

    def test_bad_days_are_refused(self) -> None:
        good = Trouble("core_cut", 1.0)
        self.refuse(Day("empty", 1, 34.0))
        self.refuse(Day("endless", 1, 1000.0, faults=[good]))
        self.refuse(Day("closing", 1, 34.0, faults=[good], closing=Closing("flood", 1.0)))
        self.refuse(Day("closing", 1, 34.0, faults=[good], closing=Closing("kill_all", 1.0, "sideways")))


class CommandLine(unittest.TestCase):
    """The program as it is called."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.site = self.folder / "site.toml"
        self.site.write_text(SITE_FILE)

    def test_writes_one_file_a_day(self) -> None:
        out = self.folder / "days"
        with contextlib.redirect_stdout(io.StringIO()) as printed:
            code = main([str(self.site), "--point", "3", "--seed", "7", "--count", "2", "--out", str(out)])
        self.assertEqual(code, 0)
        self.assertEqual(printed.getvalue().split(), [str(out / f"small-point3-{seed}.toml") for seed in (7, 8)])
        text = (out / "small-point3-8.toml").read_text()
        self.assertEqual(text, day_to_toml(draw_day(read_site(self.site), 3, 8)))

    def test_bad_arguments_end_with_code_2(self) -> None:
        good = [str(self.site), "--point", "1", "--out", str(self.folder)]
        self.assertEqual(parse_arguments(good).count, 10)
        for bad in (["--point", "6"], ["--seed", "-1"], ["--count", "0"], ["--count", "501"]):
            with self.assertRaises(SystemExit) as ended, contextlib.redirect_stderr(io.StringIO()):
                parse_arguments(good + bad)
            self.assertEqual(ended.exception.code, 2)
        with self.assertRaises(SystemExit), contextlib.redirect_stderr(io.StringIO()):
            parse_arguments([str(self.folder / "missing.toml"), *good[1:]])


if __name__ == "__main__":
    unittest.main()
