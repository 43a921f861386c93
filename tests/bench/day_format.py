"""The format of a hand-written bench day: site facts, troubles, TOML output and validation.

A day is one `[[day]]` table with planned work (`plan`), unplanned troubles (`faults`) and, optionally, a closing fault.
The words of the fields are those of the bench; `fleetbench kinds SITE` explains them.
"""

import json
import tomllib
from dataclasses import dataclass, field, fields
from pathlib import Path

MAX_DAY_LENGTH_S = 100.0
MAX_CONFIG_CHANGES = 600

# Planned work goes under `plan`, everything else under `faults`.
PLANNED_KINDS = frozenset({
    "add_nodes", "bad_config", "big_config", "config_change", "config_race", "config_storm", "evacuate", "hup",
    "release", "retire", "roll_term", "scale_in", "scale_out",
})
CLOSING_KINDS = frozenset({"kill_all", "power_off_all", "wipe_after_ack"})

RETURN_WORDS = frozenset({"meet", "race", "hard", "drain"})
CHOICE_WORDS = frozenset({"leader", "oldest", "reader", "seed", "turn"})
CUT_WORDS = frozenset({"all", "both", "lure", "near", "one_way", "refuse", "reset", "seeds"})
CONFIG_WORDS = frozenset({"idle", "quota", "route", "tenant", "timeout", "weights"})
BAD_CONFIG_WORDS = frozenset({
    "cut_short", "no_timeout", "no_weight", "old_version", "same_place", "same_version", "shared_key", "stale_match",
    "unknown_service",
})

# The words that `how` may hold, by kind; a kind that is not listed here takes none and is never drawn.
ALLOWED_WORDS = {
    "ack_lost": frozenset(),
    "add_nodes": frozenset(),
    "after_ack_kill": frozenset({"gone", "kill", "taken", "timed"}),
    "after_ack_wipe": frozenset({"oldest", "taken", "timed"}),
    "answer_lost": frozenset({"reset"}),
    "bad_config": BAD_CONFIG_WORDS,
    "big_config": frozenset(),
    "burst": frozenset(),
    "clock_step": frozenset({"ahead", "back"}),
    "config_change": CONFIG_WORDS,
    "config_race": frozenset(),
    "config_storm": frozenset(),
    "core_cut": CUT_WORDS | CHOICE_WORDS | RETURN_WORDS,
    "disk_full": frozenset(),
    "disk_slow": frozenset(),
    "disk_stall": frozenset(),
    "evacuate": frozenset({"warm"}),
    "garble": frozenset({"early", "extra", "late", "unframed"}),
    "give_up": frozenset(),
    "herd_kill": frozenset({"all", "power", "taken"}),
    "hup": frozenset(),
    "node_cut": frozenset({"all", "servers"}),
    "node_freeze": frozenset({"leader"}),
    "node_kill": frozenset({"power"}) | CHOICE_WORDS | RETURN_WORDS,
    "node_slow": frozenset(),
    "release": frozenset(),
    "replace_core": frozenset({"oldest", "planned"}),
    "replace_with_reuse": frozenset({"dark", "drain"}),
    "reset_conns": frozenset(),
    "retire": frozenset({"wipe"}),
    "roll_term": frozenset({"busy"}),
    "scale_in": frozenset({"spot"}),
    "scale_out": frozenset(),
    "seed_turnover": frozenset(),
    "srv_crash": frozenset({"dark", "gone"}),
    "srv_cut": frozenset({"fronts", "one_way", "reset"}),
    "srv_grey": frozenset({"busy", "errors", "hang", "mute", "reset", "shed", "slow"}),
    "zone_cut": frozenset(),
    "zone_loss": frozenset(),
}
CLOSING_WORDS = frozenset({"all", "oldest", "taken", "timed"})
MACHINE_CLASSES = frozenset({"core", "front", "store"})

# The inclusive range of each number of a trouble.
NUMBER_RANGES = {
    "at": (0.0, MAX_DAY_LENGTH_S),
    "for_s": (0.1, 70.0),
    "gap_s": (0.05, 5.0),
    "share": (0.01, 1.0),
    "count": (1, MAX_CONFIG_CHANGES),
    "x": (0.01, 5000.0),
}


class DayError(ValueError):
    """A day breaks a rule of the format; the text names the field."""


@dataclass(frozen=True)
class Site:
    """The facts of a site file that drawing needs."""

    name: str
    length_s: float
    catch_up_s: float
    zones: tuple[str, ...]
    services: tuple[str, ...]


@dataclass(frozen=True)
class Trouble:
    """One entry of `plan` or `faults`; a field that is None is left to the bench's default."""

    kind: str
    at: float
    for_s: float | None = None
    gap_s: float | None = None
    share: float | None = None
    count: int | None = None
    x: float | None = None
    on: str | None = None
    zone: str | None = None
    service: str | None = None
    how: str | None = None

    @property
    def words(self) -> list[str]:
        """The words of `how`."""
        return (self.how or "").split()


@dataclass(frozen=True)
class Closing:
    """The closing fault, which strikes right after one more change was acknowledged."""

    kind: str
    down_s: float
    how: str | None = None


@dataclass
class Day:
    """A whole day."""

    name: str
    seed: int
    length_s: float
    plan: list[Trouble] = field(default_factory=list)
    faults: list[Trouble] = field(default_factory=list)
    closing: Closing | None = None

    def add(self, *troubles: Trouble) -> None:
        """Sorts troubles into planned work and faults."""
        for trouble in troubles:
            planned = trouble.kind in PLANNED_KINDS or "planned" in trouble.words
            (self.plan if planned else self.faults).append(trouble)


def read_site(path: Path) -> Site:
    """Reads a site file; raises OSError, tomllib.TOMLDecodeError or KeyError if it is none."""
    with path.open("rb") as file:
        document = tomllib.load(file)
    return Site(
        name=document["name"],
        length_s=document["length_s"],
        catch_up_s=document["timing"]["catch_up_s"],
        zones=tuple(zone["name"] for zone in document["zones"]),
        services=tuple(service["name"] for service in document["services"]),
    )


def validate_trouble(trouble: Trouble, day: Day) -> None:
    """Raises DayError where a trouble leaves the ranges of its fields."""
    if trouble.kind not in ALLOWED_WORDS:
        raise DayError(f"unknown kind {trouble.kind}")
    unknown = set(trouble.words) - ALLOWED_WORDS[trouble.kind]
    if unknown:
        raise DayError(f"{trouble.kind}: how may not hold {sorted(unknown)}")
    for name, (least, most) in NUMBER_RANGES.items():
        value = getattr(trouble, name)
        if value is not None and not least <= value <= most:
            raise DayError(f"{trouble.kind}: {name} = {value} is outside {least} to {most}")
    if trouble.at >= day.length_s:
        raise DayError(f"{trouble.kind}: at = {trouble.at} is after the day's end")
    if trouble.on is not None and trouble.on not in MACHINE_CLASSES:
        raise DayError(f"{trouble.kind}: on = {trouble.on}")
    if trouble.share is not None and trouble.count is not None:
        raise DayError(f"{trouble.kind}: share and count exclude each other")


def validate_day(day: Day) -> None:
    """Raises DayError where a day or one of its entries leaves the format."""
    if not 0 < day.length_s <= MAX_DAY_LENGTH_S:
        raise DayError(f"length_s = {day.length_s}")
    if not day.plan and not day.faults:
        raise DayError("a day without troubles")
    for trouble in day.plan + day.faults:
        validate_trouble(trouble, day)
    if day.closing is None:
        return
    if day.closing.kind not in CLOSING_KINDS:
        raise DayError(f"unknown closing fault {day.closing.kind}")
    if not set((day.closing.how or "").split()) <= CLOSING_WORDS:
        raise DayError(f"closing: how = {day.closing.how}")


def written_value(value: str | float) -> str:
    """A string or number as TOML writes it, which is as JSON does; times in hundredths of a second."""
    return json.dumps(round(value, 2) if isinstance(value, float) else value)


def inline_table(entry: Trouble | Closing) -> str:
    """An entry as a TOML inline table, without the fields that are left to the bench's defaults."""
    pairs = ((each.name, getattr(entry, each.name)) for each in fields(entry))
    written = [f"{name} = {written_value(value)}" for name, value in pairs if value not in (None, "")]
    return "{ " + ", ".join(written) + " }"


def entry_list(name: str, troubles: list[Trouble]) -> list[str]:
    """The lines of an array of entries, in order of time."""
    ordered = sorted(troubles, key=lambda trouble: trouble.at)
    return [f"{name} = [", *(f"  {inline_table(trouble)}," for trouble in ordered), "]"]


def day_to_toml(day: Day) -> str:
    """The text of a day's file."""
    lines = ["[[day]]", f"name = {json.dumps(day.name)}", f"seed = {day.seed}", f"length_s = {day.length_s}"]
    if day.closing is not None:
        lines.append(f"closing = {inline_table(day.closing)}")
    lines += entry_list("plan", day.plan)
    lines += entry_list("faults", day.faults)
    return "\n".join(lines) + "\n"
