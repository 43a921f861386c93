"""A route for lots moves to a service that has one runner."""

import asyncio
import json
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))
from deployment import (BOUNDS, Deployment, Record, call, configuration, lot_of, lot_route, new_id,  # noqa: E402
                        plain_route, stream_route)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
COMPLETION, RETENTION = 8000, 40  # of the sheet of Altiplano
LOTS, ITEMS, EVENTS = 6, 5, 10
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
    deployment = Deployment(record, pools={"models": (12, 32), "models-b": (1, 32), "plain": (1, 6)}, event_gap=0.03)
    try:
        lots_route = lot_route("r-lots", "/lots-in/", completion=COMPLETION, retention=RETENTION)
        routes = [stream_route("r-review", "/review/", True), plain_route("r-plain", "/plain/"), lots_route]
        document = configuration(7, routes, 32)
        document["pool-table"].append(dict(document["pool-table"][0], name="models-b"))
        if not await deployment.start(document):
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
        moved = dict(lots_route, pool="models-b" if TROUBLE else "models", **{"target-latency-ms": 600})
        status = await deployment.order("POST", "/v1/Config.Modify", {"Base-Version": "7"},
                                        {"config-revision": 9, "upsert": {"route-table": [moved]}})
        if status != 200:
            record("the configuration was not taken", status=status)
            return 2
        await asyncio.sleep(BOUNDS["config-apply-ms"] / 1000 + 1)
        lots = {new_id(): lot_of(ITEMS, "/lots-in/", EVENTS) for _ in range(LOTS)}
        if not all(await asyncio.gather(*[hand_in(deployment, ident, lot) for ident, lot in lots.items()])):
            record("a lot was not accepted")
            return 2
        ended = time.monotonic()
        record("the traffic ends")
        await asyncio.sleep(BOUNDS["finish-s"])
        record("finish-s is over")
        items = {item["instance-id"] for lot in lots.values() for item in lot["batch-items"]}
        pages = await asyncio.gather(*[listed(deployment, ident) for ident in lots])
        if any(page is None for page in pages):
            record("a lot can't be read")
            return 2
        unlisted = sum(len(items_of["batch-items"]) - len(page) for items_of, page in zip(lots.values(), pages))
        runs = [run for run in deployment.runs if run[1] in items]
        busiest = max(runner.running / runner.slots for runner in deployment.runners)
        record("result", lots=LOTS, items=len(items), unlisted=unlisted, runs_of_them=len(runs), fullest_runner=busiest,
               after_the_traffic_s=round(time.monotonic() - ended, 1))
        print(f"{len(items)} items: {len(runs)} runs, {unlisted} neither complete nor abandoned")
        now = time.monotonic()
        quiet = not any(now - run[0] < 5 for run in runs)
        if unlisted:
            for _ in range(9):
                await asyncio.sleep(4)
                pages = await asyncio.gather(*[listed(deployment, ident) for ident in lots])
                states = [state for page in pages for state, _ in (page or {}).values()]
                record("later", after_the_traffic_s=round(time.monotonic() - ended, 1),
                       complete=states.count("complete"), abandoned=states.count("abandoned"),
                       unlisted=len(items) - len(states))
        return 1 if unlisted and quiet and busiest < 0.5 else 0
    finally:
        deployment.stop()


sys.exit(asyncio.run(main()))
