"""A keeper gives up the items of a job whose route it doesn't know yet."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standin"))

from fleet import Caller
from fleet import Fleet
from fleet import run_case

# Rounds, each with a new route.
ROUNDS = 18

# Time for which the store turns one keeper away, in seconds.
REFUSAL_TIME = 1.4

# Time after the operator's write at which the store serves the keeper again, in seconds.
SERVED_AFTER = 0.25

# Jobs submitted in a round, and the pause between two, in seconds.
JOBS = 24
PAUSE = 0.05

# Time in which the results of a round are read, in seconds.
READ_TIME = 6


def make_fleet(record):
    return Fleet(record, entries=2, keepers=3, engines=2)


def batch_route(fleet, name):
    return fleet.route(name, "batch", "llm", sloMs=400, runSloMs=18000, maxQueueS=60,
                       maxQueuedTokens=0, resumable=True, priority=2)


async def submit_until_accepted(caller, job):
    """Submits as a client does: again, at another entry, after each refusal."""
    ends = time.monotonic() + 4
    entry = 0
    while time.monotonic() < ends:
        status = await caller.submit(job, entry)
        if status == 202:
            return True
        entry = 1 - entry
        await asyncio.sleep(0.1)
    return False


async def play_round(fleet, caller, number, trouble):
    """Adds a batch route while the store turns a keeper away; returns the items given up."""
    keeper = fleet.keeper(number % 3)
    if trouble:
        fleet.record.write("store_turns_away", machine=keeper.name)
        fleet.store.turn_away(keeper.name, "busy")
    await asyncio.sleep(REFUSAL_TIME - SERVED_AFTER)
    name = f"plans{number}"
    await fleet.configure(fleet.routes + [batch_route(fleet, name)])

    async def serve_again():
        await asyncio.sleep(SERVED_AFTER)
        fleet.store.turn_away(keeper.name, None)
        fleet.record.write("store_serves_again", machine=keeper.name)

    serving = asyncio.create_task(serve_again())
    # The entries have the route: other callers' requests show it within this time.
    await asyncio.sleep(0.1)
    submissions = []
    for _ in range(JOBS):
        job = caller.new_job(name, items=1, events=20, tokens=200)
        task = asyncio.create_task(submit_until_accepted(caller, job))
        submissions.append((job, task))
        await asyncio.sleep(PAUSE)
    await serving
    accepted = [job for job, task in submissions if await task]
    reads = [caller.read_all(job, index % 2, READ_TIME) for index, job in enumerate(accepted)]
    results = await asyncio.gather(*reads)
    given_up = [row["id"] for rows in results for row in rows if row["state"] == "dead_letter"]
    listed = sum(len(rows) for rows in results)
    fleet.record.write("round", number=number, accepted=len(accepted), listed=listed,
                       given_up=len(given_up))
    return given_up


async def play(fleet, trouble):
    await fleet.start([batch_route(fleet, "plans")])
    caller = Caller(fleet, seed=1)
    given_up = []
    for number in range(ROUNDS):
        given_up += await play_round(fleet, caller, number, trouble)
    # No replica has failed on an item, no job was ended, and no route was removed.
    fleet.record.write("verdict", given_up=len(given_up))
    return 1 if given_up else 0


if __name__ == "__main__":
    run_case(sys.modules[__name__], FOLDER, os.environ.get("TROUBLE", "1") != "0")
