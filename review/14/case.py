"""A replica that says in its answers that it leaves gets requests for longer than drainMs."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-3"))
from fleet import *  # noqa: E402,F403

DRAIN_S = BOUNDS["drainMs"] / 1000
# Time for which the store turns a third of the machines away, and time from its begin until a replica leaves.
AWAY_S, LEAVES_AFTER_S = 9.0, 0.2
# "and a little longer (at times many seconds)": the replica exits this long after its report was accepted.
SERVES_S = DRAIN_S + 3.0
CALM_S = 6.0
CLIENTS = 56


class Leaving:
    """What is known of the replica that leaves: the first answer with `Server-Leaving` of each front, and the
    requests that clients sent later than drainMs after it."""

    def __init__(self):
        self.first_passed, self.late, self.lost = {}, {}, set()


async def client(fleet, record, number, path, leaving, until):
    front = fleet.entries[number % len(fleet.entries)]
    while now() < until():
        request_id, sent_at = new_id(), now()
        passed = leaving.first_passed.get(front.name)
        if passed is not None and sent_at > passed + DRAIN_S:
            leaving.late[request_id] = (front.name, sent_at - passed)
        headers = [("Request-Id", request_id), ("Model", "m"), ("Token-Count", "250,204"), ("Deadline-Ms", "5000"),
                   ("Prompt-Prefix", f"{request_id[:8]}:100,{request_id}:150")]
        status, answer, _ = await call((front.ip, FRONT_PORT), "POST", f"{path}{request_id[:4]}", headers,
                                       b"x" * 300, 5.5)
        if "server-leaving" in answer and front.name not in leaving.first_passed:
            leaving.first_passed[front.name] = now()
            record.line(f"client: {front.name} passes on the first answer with Server-Leaving, to {request_id}")
        if status != 200:
            leaving.lost.add(request_id)
            record.line(f"client: {path} {request_id} at {front.name}: status {status} (0: no whole answer)")
        await asyncio.sleep(random.uniform(0.0, 0.1))


async def play(record, fleets):
    fleet = Fleet(record, entries=2, keepers=3, replicas=10)
    fleets.append(fleet)
    await fleet.start(fleet.config())
    leaving, end = Leaving(), [now() + 60.0]
    clients = [asyncio.ensure_future(client(fleet, record, number, "/quote/" if number % 4 > 1 else "/advice/",
                                            leaving, lambda: end[0]))
               for number in range(CLIENTS)]
    await asyncio.sleep(CALM_S)
    replica = fleet.replicas[0]
    # 5 of the 15 machines.
    away = [node.name for node in fleet.entries + fleet.keepers]
    if has_trouble():
        record.line(f"the store turns {', '.join(away)} away for {AWAY_S} s")
        fleet.store.turn_away(away)
    await asyncio.sleep(LEAVES_AFTER_S)
    replica.leaving = True
    await fleet.store.write(f"servers/{replica.name}", replica.entry("draining"))
    record.line(f"the store accepts that {replica.name} is draining; its answers carry Server-Leaving from now on")
    await asyncio.sleep(SERVES_S)
    record.line(f"{replica.name} exits")
    replica.exit()
    await fleet.store.write(f"servers/{replica.name}", None)
    await asyncio.sleep(AWAY_S - LEAVES_AFTER_S - SERVES_S)
    if has_trouble():
        record.line("the store serves all machines again")
    fleet.store.turn_away([])
    end[0] = now() + 1.0
    await asyncio.gather(*clients)
    arrived = {request: at for at, request in replica.arrivals}
    late = {request: leaving.late[request] for request in leaving.late if request in arrived}
    for request, (front, delay) in late.items():
        record.line(f"{request}, sent {delay:.2f} s after {front} had passed such an answer on, reaches {replica.name}")
    if not leaving.first_passed and has_trouble():
        raise CannotRun("no answer with Server-Leaving was passed on")
    record.line(f"{len(late)} such requests")
    lost = [request for request in late if request in leaving.lost]
    record.line(f"{len(lost)} of them have no whole answer: {' '.join(lost)}")
    if not late:
        return ""
    latest = max(delay for _, delay in late.values())
    return (f"DRAIN: {len(late)} requests, sent more than {DRAIN_S} s after the front had passed on an answer with "
            f"Server-Leaving, reach {replica.name}, the last sent {latest:.2f} s after it; {len(lost)} are lost")


main(os.path.dirname(os.path.abspath(__file__)), play)
