"""A route is added whose prefix lies under that of a batch route, while items of a job wait."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "standin-2"))

import lab as stand  # noqa: E402

ITEMS = 48
MAX_QUEUE_S = stand.BATCH_ROUTE["maxQueueS"]


async def case(lab, record, trouble):
    for _ in range(2):
        lab.add_replica("engines", step_s=0.1, events=0)
    for _ in range(3):
        lab.add_keeper()
    entries = [lab.add_entry() for _ in range(2)]
    routes = [stand.STREAM_ROUTE, stand.BATCH_ROUTE]
    lab.config(routes, [stand.ENGINE_SERVICE])
    await lab.start()
    # More items than the two replicas run at once, of 5 s each.
    items = [stand.make_item(tokens=(250, 50)) for _ in range(ITEMS)]
    sent_at = time.monotonic()
    job, status = await stand.submit(entries[0], record, items, path="/plans/season/seven")
    if status != 202:
        raise stand.Unplayable("the job is not accepted")
    await asyncio.sleep(2)
    prefix = "/plans/season/" if trouble else "/advice/season/"
    added = {**stand.STREAM_ROUTE, "name": "r-added", "prefix": prefix}
    lab.config([*routes, added], [stand.ENGINE_SERVICE])
    record.write(f"acknowledged: route r-added with prefix {prefix}; route r-batch stays as it is")
    results = []
    while time.monotonic() - sent_at < 45 and len(results) < ITEMS:
        answer = await stand.read_results(entries[1], record, job, len(results), timeout=4)
        if answer and answer.status == 200:
            results += answer.json()["results"]
    age = time.monotonic() - sent_at
    ran = {run.header("Request-Id") for replica in lab.replicas for run in replica.runs}
    given_up = [result["id"] for result in results if result["state"] == "dead_letter"]
    never_ran = [item for item in given_up if item not in ran]
    record.write(f"results {len(results)} of {ITEMS} after {age:.1f} s, given up {len(given_up)}, of "
                 f"which {len(never_ran)} never ran")
    if given_up and age < MAX_QUEUE_S:
        return [f"MIXED: {len(given_up)} items listed as dead_letter {age:.1f} s after the job was "
                f"sent (maxQueueS {MAX_QUEUE_S}), without an answer of 422 or 500, an end of the job "
                f"or an end of its route"]
    return []


stand.play(case)
