"""A replica that has left the list of replicas gets requests for longer than drainMs, and loses them."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-3"))
from fleet import *  # noqa: E402,F403

DRAIN_S = BOUNDS["drainMs"] / 1000
# "and a little longer": the replica exits this long after its entry is gone.
SERVES_S = DRAIN_S + 0.4
# Steady time before the disruption, which is longer than contactMs.
CALM_S = 6.0
# Time between the cut of the watches and the removal.
GAP_S = 0.05
CLIENTS = 20


async def stream(front, path):
    """One streaming request of 34 events; returns its id and whether its answer was whole."""
    request_id = new_id()
    headers = [("Request-Id", request_id), ("Model", "m"), ("Token-Count", "250,204"), ("Deadline-Ms", "5000"),
               ("Prompt-Prefix", f"{request_id[:8]}:100,{request_id}:150")]
    status, _, _ = await call((front.ip, FRONT_PORT), "POST", f"{path}{request_id[:4]}", headers, b"x" * 300, 5.5)
    return request_id, status


async def client(fleet, record, number, path, lost, until):
    while now() < until():
        front = fleet.entries[number % len(fleet.entries)]
        request_id, status = await stream(front, path)
        if status != 200:
            record.line(f"client: {path} {request_id} at {front.name}: status {status} (0: no whole answer)")
            lost.append(request_id)
        await asyncio.sleep(random.uniform(0.0, 0.1))


async def play(record, fleets):
    fleet = Fleet(record, entries=2, keepers=3, replicas=3)
    fleets.append(fleet)
    await fleet.start(fleet.config())
    lost, end = [], [now() + 60.0]
    clients = [asyncio.ensure_future(client(fleet, record, number, "/quote/" if number % 2 else "/advice/", lost,
                                            lambda: end[0]))
               for number in range(CLIENTS)]
    await asyncio.sleep(CALM_S)
    if has_trouble():
        record.line(f"the store cuts the {fleet.store.cut_watches()} watches that wait")
    await asyncio.sleep(GAP_S)
    leaving = fleet.replicas[0]
    await fleet.store.write(f"servers/{leaving.name}", None)
    gone_at = now()
    record.line(f"{leaving.name} is removed from the list of replicas, acknowledged by the store")
    await asyncio.sleep(SERVES_S)
    record.line(f"{leaving.name} exits")
    leaving.exit()
    end[0] = now() + 2.0
    await asyncio.gather(*clients)
    after = [(at - gone_at, request) for at, request in leaving.arrivals if at > gone_at]
    late = [request for delay, request in after if delay > DRAIN_S]
    record.line(f"{leaving.name}: {len(after)} requests after its removal, the last "
                f"{max((delay for delay, _ in after), default=0):.2f} s after it; {len(late)} later than drainMs")
    lost_late = [request for request in late if request in lost]
    record.line(f"of these {len(lost_late)} have no whole answer: {' '.join(lost_late)}")
    if not late:
        return ""
    return (f"DRAIN: {len(late)} requests reach {leaving.name} later than {DRAIN_S} s after its removal, "
            f"{len(lost_late)} of them are lost")


main(os.path.dirname(os.path.abspath(__file__)), play)
