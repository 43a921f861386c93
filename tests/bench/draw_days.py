#!/usr/bin/env python3
"""Draws bench days around one of five weak points of the control side, seeded, one TOML file a day.

Points: 1 a control machine is cut off for 15 to 20 s; 2 racing and repeated orders; 3 losses right after repairs and
replacements; 4 hundreds of changes with a member away; 5 spoiled, lost and early answers of runners.

Example: tests/bench/draw_days.py SITE.toml --point 3 --seed 100 --count 10 --out days/
The names of the files written are printed, one a line; the same arguments give the same files.
"""

import argparse
import sys
from pathlib import Path

from day_format import day_to_toml, read_site
from points import POINTS, draw_day

MAX_DAYS = 500


def parse_arguments(arguments: list[str]) -> argparse.Namespace:
    """Reads the command line; ends the program with a usage text where it is wrong."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("site", type=Path, help="a site file of the bench")
    parser.add_argument("--point", type=int, choices=sorted(POINTS), required=True)
    parser.add_argument("--seed", type=int, default=1, help="seed of the first day; the next ones count up")
    parser.add_argument("--count", type=int, default=10, help=f"days to draw, 1 to {MAX_DAYS}")
    parser.add_argument("--out", type=Path, required=True, help="folder for the days; made if it is missing")
    parsed = parser.parse_args(arguments)
    if parsed.seed < 0:
        parser.error("--seed is below 0")
    if not 1 <= parsed.count <= MAX_DAYS:
        parser.error(f"--count is outside 1 to {MAX_DAYS}")
    if not parsed.site.is_file():
        parser.error(f"no such site file: {parsed.site}")
    return parsed


def main(arguments: list[str]) -> int:
    """Writes the days; returns the exit code."""
    options = parse_arguments(arguments)
    site = read_site(options.site)
    options.out.mkdir(parents=True, exist_ok=True)
    for seed in range(options.seed, options.seed + options.count):
        path = options.out / f"{site.name}-point{options.point}-{seed}.toml"
        path.write_text(day_to_toml(draw_day(site, options.point, seed)))
        print(path)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
