"""Batch jobs of one service wait forever while another service has no replica."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standin"))

from fleet import Caller
from fleet import Fleet
from fleet import run_case

# Time after the end of the traffic in which accepted jobs have to be done: `finishS`.
FINISH_TIME = 18

# Time before its end that the rule looks at, in seconds.
CALM_TIME = 5

# Length of the traffic, and when the only replica of the second service crashes, in seconds.
LENGTH = 20
CRASH_AT = 8

# Time after which the platform removes the entry of a silent replica: three heartbeats, in seconds.
REMOVED_AFTER = 3.6


def make_fleet(record):
    fleet = Fleet(record, entries=2, keepers=3, engines=3, slots=4, event_time=0.02)
    fleet.services.append({"name": "nightly", "engine": {"slots": 4}})
    fleet.engine_services[2] = "nightly"
    return fleet


async def submit_jobs(caller, route, pause, ends, jobs):
    """Submits a job of two short items again and again."""
    number = 0
    while time.monotonic() < ends:
        number += 1
        job = caller.new_job(route, items=2, events=20, tokens=200)
        status = await caller.submit(job, number % 2)
        if status == 202:
            jobs.append(job)
        await asyncio.sleep(pause)


async def crash(fleet):
    """Ends the second service's only replica for good."""
    await asyncio.sleep(CRASH_AT)
    fleet.replicas["engine-2"].crash()
    await asyncio.sleep(REMOVED_AFTER)
    await fleet.store.delete("servers/engine-2")
    fleet.record.write("entry_removed", replica="engine-2")


def has_run_since(fleet, job, since):
    """Returns whether a replica had an item of the job after a time."""
    items = set(fleet.callers_jobs[job]["items"])
    last = {}
    for row in fleet.record.rows:
        if row["what"] in ("run", "run_ended") and row["id"] in items:
            last[row["id"], row["replica"]] = row
    return any(row["what"] == "run" or row["t"] > since for row in last.values())


async def play(fleet, trouble):
    batch = {"sloMs": 400, "maxQueuedTokens": 0, "resumable": True, "priority": 2}
    await fleet.start([
        fleet.route("plans", "batch", "llm", runSloMs=18000, maxQueueS=60, **batch),
        fleet.route("reports", "batch", "nightly", runSloMs=60000, maxQueueS=90, **batch),
    ])
    caller = Caller(fleet, seed=6)
    fleet.callers_jobs = caller.jobs
    plans, reports = [], []
    ends = time.monotonic() + LENGTH
    tasks = [submit_jobs(caller, "plans", 1.0, ends, plans)]
    tasks.append(submit_jobs(caller, "reports", 2.0, ends, reports))
    if trouble:
        tasks.append(crash(fleet))
    await asyncio.gather(*tasks)
    fleet.record.write("traffic_ended", plans=len(plans), reports=len(reports))
    await asyncio.sleep(FINISH_TIME - CALM_TIME)
    calm_since, busy = fleet.record.now(), 0
    for _ in range(CALM_TIME * 10):
        await asyncio.sleep(0.1)
        busy = max(busy, fleet.replicas["engine-0"].running + fleet.replicas["engine-1"].running)
    finished = [row for row in fleet.record.find("run_ended") if row["t"] > calm_since]
    read = await asyncio.gather(*[caller.read_all(job, 0, 2) for job in plans + reports])
    missing = {job: 2 - len(rows) for job, rows in zip(plans + reports, read) if len(rows) < 2}
    # The rule excuses a job that a replica works on, full replicas, and progress that isn't slow.
    is_calm = busy < fleet.slots and len(finished) * 10 < sum(missing.values())
    lost = [job for job in plans if job in missing and not has_run_since(fleet, job, calm_since)]
    for job in lost:
        fleet.record.write("lost", job=job, missing=missing[job])
    waiting = sum(missing.values())
    fleet.record.write("verdict", plans=len(plans), lost=len(lost), waiting=waiting,
                       finished_lately=len(finished), busy=busy, slots=2 * fleet.slots)
    return 1 if lost and is_calm else 0


if __name__ == "__main__":
    run_case(sys.modules[__name__], FOLDER, os.environ.get("TROUBLE", "1") != "0")
