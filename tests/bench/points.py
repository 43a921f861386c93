"""Random draws of bench days around five weak points of the control side, one function a point."""

import random
from collections.abc import Callable

from day_format import BAD_CONFIG_WORDS, CONFIG_WORDS, Closing, Day, Site, Trouble, validate_day

LONG_CUT_S = (15.0, 20.0)
DISK_FAULTS = ("disk_slow", "disk_full", "disk_stall")


class Draw:
    """Random choices of a day, rounded as days are written."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)

    def number(self, least: float, most: float) -> float:
        """A number between two bounds, in hundredths."""
        return round(self._random.uniform(least, most), 2)

    def whole(self, least: int, most: int) -> int:
        """A whole number, both bounds included."""
        return self._random.randint(least, most)

    def one(self, *choices: str) -> str:
        """One of the choices."""
        return self._random.choice(choices)

    def some(self, choices: list[Callable[[], Trouble]], least: int, most: int) -> list[Trouble]:
        """Between `least` and `most` different troubles out of those that can be made."""
        return [make() for make in self._random.sample(choices, self.whole(least, most))]

    def chance(self, probability: float) -> bool:
        """True with a probability."""
        return self._random.random() < probability


def config_change(draw: Draw, least_at: float, most_at: float) -> Trouble:
    """One valid change of the configuration."""
    return Trouble("config_change", draw.number(least_at, most_at), how=draw.one(*sorted(CONFIG_WORDS)))


def config_race(draw: Draw, least_at: float, most_at: float) -> Trouble:
    """Pairs of changes on the same version."""
    return Trouble("config_race", draw.number(least_at, most_at), count=draw.whole(1, 4), gap_s=draw.number(0.3, 1.5))


def evacuation(draw: Draw, site: Site, least_at: float, most_at: float) -> Trouble:
    """A zone is evacuated for some seconds."""
    return Trouble("evacuate", draw.number(least_at, most_at), zone=draw.one(*site.zones), for_s=draw.number(4, 8))


def lost_acknowledgements(draw: Draw, at: float, for_s: float) -> Trouble:
    """Seven in ten acknowledgements are lost, and the orders sent again."""
    return Trouble("ack_lost", at, for_s=for_s, x=draw.number(0.6, 0.8))


def node_kill(draw: Draw, at: float, how: str) -> Trouble:
    """A machine that counts is killed and comes back after some seconds."""
    return Trouble("node_kill", at, on="core", count=1, for_s=draw.number(2, 6), how=joined(how, returning(draw)))


def kill_after_order(draw: Draw, least_at: float, most_at: float) -> Trouble:
    """The machine that acknowledges an order loses power or is killed within milliseconds."""
    how = draw.one("", "kill", "timed")
    return Trouble("after_ack_kill", draw.number(least_at, most_at), for_s=draw.number(1.5, 4), how=how)


def returning(draw: Draw) -> str:
    """What meets a machine that returns: a change, two racing changes, sent until they are answered."""
    return draw.one("", "", "meet", "race", "race hard", "meet hard", "meet drain", "race drain")


def joined(*words: str) -> str:
    """The words of `how`, without the empty ones."""
    return " ".join(word for word in words if word)


def long_cut(draw: Draw, at: float, on: str | None) -> Trouble:
    """A machine that counts is cut off for 15 to 20 s."""
    shape = draw.one("", "near", "near", "all", "one_way", "seeds", "seeds", "lure", "both", "reset", "refuse")
    choice = draw.one("", "", "leader", "turn") if on is None else ""
    how = joined(choice, shape, returning(draw))
    return Trouble("core_cut", at, for_s=draw.number(*LONG_CUT_S), count=1, on=on, how=how)


def draw_cut_off(draw: Draw, site: Site, day: Day) -> None:
    """Point 1: long cuts with evacuations, changes and releases meanwhile."""
    start = draw.number(2.0, 6.0)
    storage_too = draw.chance(0.3)
    first = long_cut(draw, start, "store" if storage_too and draw.chance(0.5) else None)
    day.add(first)
    if draw.chance(0.4):
        day.length_s = 56.0
        day.add(long_cut(draw, start + first.for_s + draw.number(0.5, 6.0), "store" if storage_too else None))
    end = start + first.for_s
    for _ in range(draw.whole(1, 2)):
        day.add(evacuation(draw, site, start + 0.5, end - 4))
    day.add(config_change(draw, start + 0.5, end - 1), config_change(draw, start + 1, end + 2))
    day.add(*draw.some([
        lambda: config_race(draw, start, end),
        lambda: config_race(draw, start, end),
        lambda: Trouble("big_config", draw.number(0.5, end), count=draw.whole(100, 350)),
        lambda: Trouble("release", draw.number(start, end - 3), share=draw.number(0.2, 0.5), x=1.0,
                        gap_s=draw.number(0.7, 1.2)),
        lambda: Trouble("config_storm", draw.number(start, end - 3), for_s=draw.number(2, 5),
                        gap_s=draw.number(0.1, 0.4)),
        lambda: Trouble("scale_in", draw.number(start, end - 3), share=0.2, how=draw.one("", "spot")),
        lambda: Trouble("hup", draw.number(start, end - 3), share=0.3, gap_s=1.0),
    ], 2, 4))
    if draw.chance(0.4):
        day.closing = closing_fault(draw)


def draw_racing_orders(draw: Draw, site: Site, day: Day) -> None:
    """Point 2: storms of racing changes whose acknowledgements get lost, with kills right after them."""
    day.add(lost_acknowledgements(draw, draw.number(1, 4), draw.number(12, 25)))
    for _ in range(draw.whole(2, 4)):
        day.add(Trouble("config_race", draw.number(1, 22), count=draw.whole(2, 8), gap_s=draw.number(0.1, 1.0)))
    for _ in range(draw.whole(2, 6)):
        day.add(config_change(draw, 1, 28))
    day.add(Trouble("config_storm", draw.number(3, 18), for_s=draw.number(2, 6), gap_s=draw.number(0.05, 0.3)))
    day.add(Trouble("bad_config", draw.number(2, 25), count=draw.whole(1, 3), gap_s=draw.number(0.4, 1.2),
                    how=draw.one("", *sorted(BAD_CONFIG_WORDS))))
    day.add(*draw.some([
        lambda: kill_after_order(draw, 3, 10),
        lambda: kill_after_order(draw, 12, 25),
        lambda: Trouble("after_ack_wipe", draw.number(12, 25), for_s=draw.number(1, 3)),
        lambda: node_kill(draw, draw.number(4, 20), draw.one("", "power", "leader", "power leader")),
        lambda: Trouble("core_cut", draw.number(4, 20), count=1, for_s=draw.number(4, 8),
                        how=joined("leader", draw.one("", "one_way", "reset", "refuse"), returning(draw))),
        lambda: evacuation(draw, site, 3, 20),
        lambda: Trouble("node_freeze", draw.number(4, 20), on="core", count=1, for_s=draw.number(2, 6), how="leader"),
        lambda: Trouble("herd_kill", draw.number(8, 24), on="core", how=draw.one("power", "taken")),
    ], 2, 4))
    if draw.chance(0.6):
        day.closing = closing_fault(draw)


def replacement(draw: Draw, at: float) -> Trouble:
    """A machine is replaced by an empty one at another address."""
    on = draw.one("store", "store", "core")
    how = draw.one("", "planned", "oldest", "oldest planned")
    return Trouble("replace_core", at, on=on, x=draw.number(0.5, 3), how=how)


def wipe(draw: Draw, at: float) -> Trouble:
    """A machine loses its disk right after an acknowledgement."""
    on = draw.one("store", "store", "core")
    how = draw.one("", "", "oldest", "timed")
    return Trouble("after_ack_wipe", at, on=on, count=1, for_s=draw.number(1, 3), how=how)


def retire_then_replace(draw: Draw, day: Day) -> None:
    """A storage machine is added, one retired while another's disk is wiped, the oldest replaced some seconds later."""
    retired_at = draw.number(4, 8)
    replaced_at = retired_at + draw.number(12, 20)
    how = draw.one("oldest", "oldest", "", "oldest planned")
    day.add(
        Trouble("add_nodes", draw.number(0.5, 2.5), on="store", count=1),
        Trouble("retire", retired_at, for_s=draw.number(8, 10), how="wipe"),
        Trouble("replace_core", replaced_at, on="store", x=draw.number(0.5, 2.5), how=how),
    )
    day.length_s = max(day.length_s, round(replaced_at + draw.number(6, 20)))
    day.closing = Closing("wipe_after_ack", draw.number(0.5, 1.5), joined(draw.one("", "oldest", "taken"), "all"))


def draw_second_loss(draw: Draw, site: Site, day: Day) -> None:
    """Point 3: a wipe or replacement as soon as the machine lost before counts as back."""
    if draw.chance(0.5):
        retire_then_replace(draw, day)
        return
    after_recovery_s = site.catch_up_s + draw.number(2.0, 6.0)
    start = draw.number(3, 8)
    if draw.chance(0.7):
        day.add(Trouble("add_nodes", draw.number(0.5, 2.5), on="store", count=1))
    if draw.chance(0.5):
        day.add(Trouble("retire", draw.number(3, 9), for_s=draw.number(8, 10), how=draw.one("wipe", "wipe", "")))
    day.add(replacement(draw, start) if draw.chance(0.5) else wipe(draw, start))
    day.add(replacement(draw, start + after_recovery_s))
    if draw.chance(0.5):
        day.add(wipe(draw, start + 2 * after_recovery_s))
    if draw.chance(0.25):
        day.add(Trouble("zone_loss", draw.number(12, 18), zone=draw.one(*site.zones), for_s=draw.number(2, 5)))
    if draw.chance(0.4):
        how = draw.one("", "dark")
        day.add(Trouble("srv_crash", draw.number(8, 16), service=site.services[0], share=0.15, for_s=4.0, how=how))
    if draw.chance(0.4):
        day.add(config_race(draw, 2, 20))
    day.length_s = max(day.length_s, round(start + 2 * after_recovery_s + 14))
    day.closing = closing_fault(draw)


def closing_fault(draw: Draw) -> Closing:
    """The last fault of a day, and what follows its recovery."""
    kind = draw.one("wipe_after_ack", "wipe_after_ack", "power_off_all", "kill_all")
    how = None
    if kind == "wipe_after_ack":
        how = joined(draw.one("", "oldest", "timed", "taken"), draw.one("", "all"))
    elif kind == "power_off_all":
        how = "all"
    return Closing(kind, draw.number(0.5, 1.5), how)


def member_away(draw: Draw, at: float, for_s: float) -> Trouble:
    """One machine that counts is away, or its disk is, for nearly all changes."""
    kind = draw.one("core_cut", "node_freeze", "node_kill", "node_slow", *DISK_FAULTS)
    if kind == "core_cut":
        return Trouble(kind, at, count=1, for_s=for_s, how=draw.one("all", "one_way", "leader", "near"))
    if kind == "node_kill":
        return Trouble(kind, at, on="core", count=1, for_s=for_s, how="power")
    strength = 30.0 if kind == "disk_slow" else None
    return Trouble(kind, at, on="core", count=1, for_s=for_s, x=strength)


def draw_many_changes(draw: Draw, site: Site, day: Day) -> None:
    """Point 4: hundreds of changes while a member is away; then the others go and it has to lead."""
    gap_s = draw.number(0.06, 0.16)
    count = draw.whole(120, 400)
    start = draw.number(1.5, 3)
    storm_s = round(count * gap_s, 1)
    day.length_s = round(start + storm_s + 26)
    day.add(Trouble("config_storm", start, count=count, gap_s=gap_s))
    if draw.chance(0.6):
        day.add(Trouble("big_config", draw.number(0.3, 1.4), count=draw.whole(100, 350)))
    away_s = round(storm_s * draw.number(0.7, 1.0), 1)
    day.add(member_away(draw, start + 0.5, away_s))
    back_at = start + 0.5 + away_s
    after = back_at + site.catch_up_s + draw.number(3.2, 5)
    day.add(draw.some([
        lambda: node_kill(draw, after, "power leader"),
        lambda: Trouble("core_cut", after, count=1, for_s=draw.number(4, 8), how=joined("leader", returning(draw))),
        lambda: Trouble("herd_kill", after, on="core", how=draw.one("", "power", "taken")),
        lambda: Trouble("replace_core", after, on="core", x=draw.number(0.5, 2), how=draw.one("", "planned", "oldest")),
        lambda: Trouble("after_ack_wipe", after, for_s=draw.number(1, 3)),
    ], 1, 1)[0])
    day.add(config_change(draw, back_at, day.length_s - 6), config_race(draw, back_at, day.length_s - 6))
    if draw.chance(0.3):
        day.add(lost_acknowledgements(draw, start + 2, draw.number(5, 10)))
    if draw.chance(0.6):
        day.closing = closing_fault(draw)


def spoiled_answers(draw: Draw, at: float) -> Trouble:
    """Runners break off their answers, add to them, leave out their length or answer before they have read."""
    how = joined(draw.one("extra", "unframed", "early", "extra unframed", "early extra"), draw.one("", "late"))
    share = draw.number(0.4, 0.9)
    return Trouble("garble", at, how=how, share=share, x=draw.number(0.02, 0.08), for_s=draw.number(4, 9))


def draw_spoiled_answers(draw: Draw, site: Site, day: Day) -> None:
    """Point 5: runners and connections that spoil, lose or delay answers, and callers that leave."""
    def at() -> float:
        return draw.number(2, 24)
    service = site.services[0]
    day.add(*draw.some([
        lambda: spoiled_answers(draw, at()),
        lambda: spoiled_answers(draw, at()),
        lambda: Trouble("answer_lost", at(), how=draw.one("", "reset"), share=0.5, x=0.05, for_s=draw.number(3, 6)),
        lambda: Trouble("srv_cut", at(), how=draw.one("reset", "", "fronts", "one_way"), share=0.25,
                        for_s=draw.number(3, 8)),
        lambda: Trouble("reset_conns", at(), share=draw.number(0.2, 0.6), x=draw.number(0.3, 0.9)),
        lambda: Trouble("srv_grey", at(), how=draw.one("reset", "mute", "hang", "errors", "busy"), share=0.2,
                        x=draw.number(0.2, 0.6), for_s=draw.number(4, 8)),
        lambda: Trouble("node_freeze", at(), on=draw.one("front", "core", "store"), count=1, for_s=draw.number(1, 6)),
        lambda: Trouble("give_up", at(), share=draw.number(0.1, 0.4), x=draw.number(60, 300), for_s=draw.number(4, 8)),
        lambda: Trouble("replace_with_reuse", at(), service=service, share=0.2, how=draw.one("", "drain", "dark")),
        lambda: Trouble("srv_crash", at(), service=service, share=0.2, for_s=draw.number(3, 6), how="dark"),
        lambda: Trouble("clock_step", at(), x=draw.number(500, 4000), share=0.4, for_s=draw.number(3, 8),
                        how=draw.one("", "back", "ahead")),
        lambda: Trouble("hup", at(), share=0.5, gap_s=draw.number(0.5, 2)),
        lambda: Trouble("roll_term", at(), share=0.4, x=1.0, gap_s=1.1, how=draw.one("", "busy")),
    ], 3, 6))
    if draw.chance(0.5):
        day.add(config_change(draw, 3, 25))


POINTS: dict[int, Callable[[Draw, Site, Day], None]] = {
    1: draw_cut_off,
    2: draw_racing_orders,
    3: draw_second_loss,
    4: draw_many_changes,
    5: draw_spoiled_answers,
}


def draw_day(site: Site, point: int, seed: int) -> Day:
    """One valid day of a point; the same arguments give the same day."""
    day = Day(f"point{point}-{seed}", seed, site.length_s)
    POINTS[point](Draw(seed * 10 + point), site, day)
    validate_day(day)
    return day
