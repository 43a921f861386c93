"""Lots beside a lot whose one item is larger than a runner's memory."""

import asyncio
import json
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))
from deployment import (BOUNDS, MEMORY, Deployment, Record, call, configuration, lot_of, lot_route, new_id,  # noqa: E402
                        plain_route, stream_route)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
COMPLETION, RETENTION = 12000, 40  # of the sheet of Sestavna
LARGE_LOTS = int(os.environ.get("LARGE_LOTS", "1"))
LOTS, ITEMS, EVENTS = 24, 5, 10
record = Record(os.path.join(HERE, "record.txt"))


async def hand_in(deployment, ident, lot):
    for _ in range(8):
        edge = deployment.edges[int(ident[:4], 16) % len(deployment.edges)]
        answer = await call(edge.callers, "POST", "/lots-in/" + ident[:6],
                            {"Host": "lots.example", "Attempt-Id": ident, "Content-Type": "application/json"},
                            json.dumps(lot).encode())
        record("lot", id=ident, items=len(lot["batch-items"]), answer=answer and answer[0])
        if answer and answer[0] == 202:
            return True
        await asyncio.sleep(0.2)
    return False


async def listed(deployment, ident):
    """What the lot lists: item to state, text."""
    for number in range(8):
        answer = await call(deployment.edges[number % 4].callers, "GET", f"/v1/lots/{ident}?page-cursor=0",
                            {"Host": "lots.example"})
        if answer and answer[0] == 200:
            return {each["instance-id"]: (each["oper-state"], each["text"])
                    for each in json.loads(answer[2])["result-list"]}
        await asyncio.sleep(0.2)
    return None


async def main():
    deployment = Deployment(record, pools={"models": (12, 32), "plain": (1, 6)}, event_gap=0.03)
    try:
        routes = [stream_route("r-review", "/review/", True), plain_route("r-plain", "/plain/"),
                  lot_route("r-lots", "/lots-in/", completion=COMPLETION, retention=RETENTION)]
        if not await deployment.start(configuration(7, routes, 32)):
            record("the deployment did not come up")
            return 2
        await asyncio.sleep(4)
        # That lots are worked off is known before.
        before = new_id()
        if not await hand_in(deployment, before, lot_of(3, "/lots-in/", EVENTS)):
            return 2
        await asyncio.sleep(4)
        if len(await listed(deployment, before) or {}) != 3:
            record("a lot before the trouble was not worked off")
            return 2
        large, lots = {}, {}
        for _ in range(LARGE_LOTS):
            lot = lot_of(1, "/lots-in/", EVENTS)
            if TROUBLE:
                lot["batch-items"][0]["header-map"]["Token-Count"] = f"{MEMORY},1000"
                lot["batch-items"][0]["token-count"] = MEMORY + 1000
            large[new_id()] = lot
        for _ in range(LOTS):
            lots[new_id()] = lot_of(ITEMS, "/lots-in/", EVENTS)
        taken = await asyncio.gather(*[hand_in(deployment, ident, lot) for ident, lot in large.items()])
        taken += await asyncio.gather(*[hand_in(deployment, ident, lot) for ident, lot in lots.items()])
        if not all(taken):
            record("a lot was not accepted")
            return 2
        ended = time.monotonic()
        record("the traffic ends")
        await asyncio.sleep(BOUNDS["finish-s"])
        record("finish-s is over")
        unlisted, wrong = 0, 0
        pages = await asyncio.gather(*[listed(deployment, ident) for ident in lots])
        for (ident, lot), page in zip(lots.items(), pages):
            if page is None:
                record("unreadable", id=ident)
                return 2
            missing = [item["instance-id"] for item in lot["batch-items"] if item["instance-id"] not in page]
            unlisted += len(missing)
            wrong += sum(state == "abandoned" for state, _ in page.values())
            record("listed", id=ident, items=ITEMS, listed=len(page), unlisted=len(missing))
        now = time.monotonic()
        small = {item["instance-id"] for lot in lots.values() for item in lot["batch-items"]}
        late_runs = [run for run in deployment.runs if now - run[0] < 5 and run[1] in small]
        busiest = max(runner.running / runner.slots for runner in deployment.runners)
        record("result", lots=LOTS, items=LOTS * ITEMS, unlisted=unlisted, abandoned=wrong,
               after_the_traffic_s=round(now - ended, 1), runs_of_them_in_the_last_5_s=len(late_runs),
               fullest_runner=busiest)
        print(f"{LOTS * ITEMS} items that any runner could do: {unlisted} neither complete nor abandoned")
        # What follows is for the record: how long they stay so.
        if unlisted:
            for _ in range(9):
                await asyncio.sleep(4)
                pages = await asyncio.gather(*[listed(deployment, ident) for ident in lots])
                record("later", after_the_traffic_s=round(time.monotonic() - ended, 1),
                       unlisted=LOTS * ITEMS - sum(len(page or {}) for page in pages),
                       abandoned=sum(state == "abandoned" for page in pages for state, _ in (page or {}).values()))
        return 1 if unlisted and not late_runs and busiest < 0.5 else 0
    finally:
        deployment.stop()


sys.exit(asyncio.run(main()))
