"""Streams wait for a runner to go on at, and a configuration takes their route away meanwhile."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common"))
from deployment import (Deployment, Record, call, configuration, lot_route, new_id, plain_route,  # noqa: E402
                        read_head, stream_route)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RUNNERS, SLOTS, EVENTS, GAP = 6, 12, 24, 0.15  # one of six is 17 in 100; a stream lasts 3.6 s of its route's 5 s
EXTRA = 24  # streams beyond the slots: a third more than runs at once, as in a burst
record = Record(os.path.join(HERE, "record.txt"))


def parse(raw):
    """What a client makes of the bytes of an answer: 'whole', 'cut', or why they are no answer in the protocol."""
    if b"\r\n\r\n" not in raw:
        return "cut", b""
    head, rest = raw.split(b"\r\n\r\n", 1)
    if not head.startswith(b"HTTP/1.1 "):
        return "no status line", b""
    if b"transfer-encoding: chunked" not in head.lower():
        return "whole", rest
    body = b""
    while True:
        line, mark, after = rest.partition(b"\r\n")
        if not mark:
            return "cut", body
        try:
            size = int(line.split(b";")[0], 16)
        except ValueError:
            return f"no chunk: {line[:60]!r}", body
        if len(after) < size + 2:
            return "cut", body
        if after[size:size + 2] != b"\r\n":
            return f"no end of a chunk: {after[size:size + 60]!r}", body
        if size == 0:
            return "whole", body
        body += after[:size]
        rest = after[size + 2:]


async def stream(deployment, edge, results):
    attempt = new_id()
    request = (f"POST /review/{attempt[:4]} HTTP/1.1\r\nHost: live.example\r\nAttempt-Id: {attempt}\r\nModel: m\r\n"
               f"Token-Count: 500,{EVENTS}\r\nPrompt-Prefix: {attempt[:6]}:100,{attempt[6:12]}:400\r\n"
               "Time-Budget: 5000\r\nContent-Length: 5\r\n\r\nhello").encode()
    record("send", id=attempt, to=edge.name)
    raw = b""
    try:
        reader, writer = await asyncio.open_connection(*edge.callers)
        writer.write(request)
        until = time.monotonic() + 6
        while time.monotonic() < until and parse(raw)[0] == "cut":
            piece = await asyncio.wait_for(reader.read(65536), max(0.01, until - time.monotonic()))
            if not piece:
                break
            raw += piece
        if parse(raw)[0] not in ("cut", "whole"):
            await asyncio.sleep(0.2)  # for the record: what else comes
            raw += await asyncio.wait_for(reader.read(65536), 0.2) if not reader.at_eof() else b""
        writer.close()
    except (OSError, asyncio.TimeoutError):
        pass
    how, body = parse(raw)
    events = body.count(b"\nid: ") + body.startswith(b"id: ")
    record("answer", id=attempt, status=raw[9:12].decode("latin-1"), events=events, how=how.replace(" ", "_"))
    if how not in ("whole", "cut"):
        record("bytes", id=attempt, tail=raw[-420:])
    results.append((attempt, raw[9:12], how, events))


async def main():
    deployment = Deployment(record, pools={"models": (RUNNERS, SLOTS), "plain": (1, 6)}, event_gap=GAP)
    try:
        routes = [stream_route("r-review", "/review/", True), stream_route("r-other", "/other/", False, tries=1),
                  plain_route("r-plain", "/plain/"), lot_route("r-lots", "/lots-in/")]
        if not await deployment.start(configuration(7, routes, SLOTS)):
            record("the deployment did not come up")
            return 2
        await asyncio.sleep(4)
        # All clients are in one zone, whose daemon gets them. They ask again and again, so that all runners come to use.
        models = [runner for runner in deployment.runners if runner.pool == "models"]
        results, ended = [], []

        async def client(number):
            await asyncio.sleep(0.03 * number)
            while not ended:
                await stream(deployment, deployment.edges[0], results)

        tasks = [asyncio.ensure_future(client(number)) for number in range(RUNNERS * SLOTS + EXTRA)]
        least, until = time.monotonic() + 8, time.monotonic() + 60
        # The trouble comes when the slots are in use; what waits takes those that become free.
        while time.monotonic() < least or sum(runner.running for runner in models) < RUNNERS * SLOTS - 2:
            if time.monotonic() > until:
                record("the runners were never full")
                return 2
            await asyncio.sleep(0.05)
        if not any(status == b"200" and how == "whole" and events == EVENTS for _, status, how, events in results):
            record("no stream before the trouble was served")
            return 2
        results.clear()
        if TROUBLE:
            dark = max(models, key=lambda runner: runner.running)
            record("dark", runner=dark.instance, running=dark.running, all=[each.running for each in models],
                   queued=[each.waiting for each in models])
            dark.dark = True
            await asyncio.sleep(0.8)
            status = await deployment.order("POST", "/v1/Config.Modify", {"Base-Version": "7"},
                                            {"config-revision": 9, "remove": {"route-table": ["r-review"]}})
            if status != 200:
                record("the configuration was not taken", status=status)
                return 2
        ended.append(True)
        await asyncio.gather(*tasks)
        broken = [each for each in results if each[2] not in ("whole", "cut")]
        short = [each for each in results if each[1] == b"200" and each[2] == "whole" and each[3] != EVENTS]
        record("result", streams=len(results), whole=sum(each[2] == "whole" for each in results),
               cut=sum(each[2] == "cut" for each in results), no_answer_in_the_protocol=len(broken), short=len(short))
        print(f"{len(results)} streams: {len(broken)} got bytes that are no answer in the protocol")
        return 1 if broken or short else 0
    finally:
        deployment.stop()


sys.exit(asyncio.run(main()))
