"""A job that was refused with 429 at each attempt runs after its keeper was frozen."""

import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standin"))

from fleet import CannotRun
from fleet import Caller
from fleet import Fleet
from fleet import run_case

# Tokens that may wait on the route.
QUOTA = 40_000

# Items of a job and tokens of an item.
ITEMS = 4
TOKENS = 1_000

# Time for which the keeper's process is stopped, in seconds; `fleetbench kinds` names 5.
FREEZE_TIME = 4.5

# Jobs that one keeper accepts in a row while others are refused, before it is frozen.
ACCEPTED_IN_A_ROW = 5

# Jobs submitted at the start of the freeze.
JOBS = 16

# A client's deadline for a submission, in seconds; it tries again once.
DEADLINE = 4.0

# Time after the freeze in which runs are observed, in seconds.
OBSERVED = 8


def make_fleet(record):
    return Fleet(record, entries=2, keepers=3, engines=2, event_time=0.005)


def batch_route(fleet, quota):
    return fleet.route("plans", "batch", "llm", sloMs=400, runSloMs=18000, maxQueueS=60,
                       maxQueuedTokens=quota, resumable=True, priority=2)


async def submit_twice(caller, job):
    """Submits a job, and once more at the other entry unless it is accepted; returns the answers."""
    ends = time.monotonic() + DEADLINE
    statuses = [await caller.submit(job, 0, DEADLINE)]
    left = ends - time.monotonic() - 0.05
    if statuses[0] != 202 and left > 0:
        await asyncio.sleep(0.05)
        statuses.append(await caller.submit(job, 1, left))
    return statuses


async def keeper_that_accepted(fleet, job):
    """Returns the keeper whose log says that it accepted a job; the log is written with a delay."""
    for _ in range(30):
        for node in fleet.nodes.values():
            with open(node.log, encoding="utf-8", errors="replace") as log:
                if any("job_accepted" in line and job in line for line in log):
                    return node
        await asyncio.sleep(0.1)
    raise CannotRun("no log tells which keeper accepted a job")


async def find_accepting_keeper(fleet, caller):
    """Submits jobs, each once the one before is done, until one keeper alone accepts them.

    Returns that keeper. Nothing waits on the route by then.
    """
    in_a_row, refused, refused_in_a_row, quota = [], 0, 0, QUOTA
    for _ in range(100):
        job = caller.new_job("plans", ITEMS, events=5, tokens=TOKENS)
        statuses = await submit_twice(caller, job)
        if 202 not in statuses:
            refused += 1
            refused_in_a_row += 1
            if refused_in_a_row == 8:
                # All refuse: the operator raises the limit until one of them accepts again.
                refused_in_a_row, quota = 0, quota + TOKENS
                await fleet.configure([batch_route(fleet, quota)])
                await asyncio.sleep(0.5)
            continue
        refused_in_a_row = 0
        await caller.read_all(job, 0, 5)
        keeper = await keeper_that_accepted(fleet, job)
        in_a_row = in_a_row + [keeper] if keeper in in_a_row[-1:] else [keeper]
        if refused >= 3 and len(in_a_row) >= ACCEPTED_IN_A_ROW:
            return keeper
    raise CannotRun("no keeper is the only one that accepts jobs")


async def play(fleet, trouble):
    await fleet.start([batch_route(fleet, QUOTA)])
    caller = Caller(fleet, seed=int.from_bytes(os.urandom(4), "big"))
    keeper = await find_accepting_keeper(fleet, caller)
    if trouble:
        keeper.signal(signal.SIGSTOP)
        fleet.record.write("freeze_begins", machine=keeper.name)
    frozen_at = time.monotonic()
    jobs = [caller.new_job("plans", ITEMS, events=5, tokens=TOKENS) for _ in range(JOBS)]
    tasks = [asyncio.create_task(submit_twice(caller, job)) for job in jobs]
    await asyncio.sleep(FREEZE_TIME - (time.monotonic() - frozen_at))
    keeper.signal(signal.SIGCONT)
    fleet.record.write("freeze_ends", machine=keeper.name)
    answers = await asyncio.gather(*tasks)
    await asyncio.sleep(OBSERVED)
    broken = 0
    for job, statuses in zip(jobs, answers):
        runs = [row for item in caller.jobs[job]["items"] for row in fleet.record.find("run", id=item)]
        was_refused = all(status in (408, 421, 429, 503) for status in statuses)
        fleet.record.write("job", id=job, answers=statuses, runs=len(runs))
        broken += was_refused and len(runs) > 0
    fleet.record.write("verdict", refused_but_run=broken)
    return 1 if broken else 0


if __name__ == "__main__":
    run_case(sys.modules[__name__], FOLDER, os.environ.get("TROUBLE", "1") != "0")
