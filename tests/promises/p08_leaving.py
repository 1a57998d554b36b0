#!/usr/bin/env python3
"""Promise 8: an endpoint set to leaving gets no new work after a few seconds."""
import time

from harness import Failed, case, load_result, load_tool, main
from observers import Watch, endpoint_row

BOUND = 7.0  # seconds from the accepted change to the last new work


def leaving(t, name, after=None, before=None, seconds=16):
    """Sets an endpoint to leaving under load; the figure is the time of its last new work."""
    with t.fleet() as fleet:
        if not fleet.operators:
            raise Failed("there is no operator listener")
        time.sleep(2)
        load = load_tool(fleet, seconds, 40, "completions=2,stream=2,status=4,paid=2", t.seed,
                         "--prompt-median", "200", "--prompt-max", "1000", "--timeout-ms", "20000")
        watch = Watch(fleet, fleet.standins[name])
        watch.start()
        time.sleep(3)
        begun = watch.count
        if before:
            before(fleet)
        status, body = fleet.change(endpoint_row(fleet, name, "leaving"), 0)
        accepted = time.monotonic()
        if status == 200 and after:
            after(fleet)
        result = load_result(load)
        watch.stop.set()
        watch.join()
        if status != 200:
            raise Failed(f"the change was not accepted: {body}")
        if begun == 0:
            raise Failed(f"{name} had no work before the change")
        t.note({k: result[k] for k in ("sent", "answered", "not_run", "unknown", "lost", "wrong",
                                       "codes")})
        if result["lost"] + result["wrong"] or result["answered"] < result["sent"] * 0.7:
            raise Failed("the load was not served")
        return max(watch.last - accepted, 0.0), BOUND


@case
def prefill_engine_leaves(t):
    """Guards against a daemon that goes on choosing a leaving endpoint."""
    return leaving(t, "prefill-2")


@case
def decode_engine_leaves(t):
    return leaving(t, "decode-3")


@case
def service_leaves(t):
    return leaving(t, "service-1")


@case
def store_down_right_after(t):
    return leaving(t, "decode-1", lambda fleet: fleet.store_down())


@case
def vm_started_during_change(t):
    """The new VM must not begin with the row as it was."""
    def before(fleet):
        fleet.kill(5)
        fleet.replace(5, wait=False)
    return leaving(t, "prefill-1", before=before, seconds=20)


@case
def vm_started_during_change_and_store_down(t):
    def after(fleet):
        fleet.store_down()
        time.sleep(2)
        fleet.store_up()

    def before(fleet):
        fleet.kill(5)
        fleet.replace(5, wait=False)
    return leaving(t, "service-2", after, before, seconds=20)


@case
def vm_frozen_during_change(t):
    """A VM frozen before the change goes on 8 s after it: its old table must place nothing."""
    def after(fleet):
        time.sleep(8)
        fleet.thaw(4)
    return leaving(t, "decode-2", after, lambda fleet: fleet.freeze(4), seconds=22)


@case
def vm_frozen_shortly_during_change(t):
    """Frozen for less than the lease, it acts at once when it goes on."""
    def after(fleet):
        time.sleep(3)
        fleet.thaw(4)
    return leaving(t, "service-3", after, lambda fleet: fleet.freeze(4), seconds=18)


@case
def accepting_vm_killed(t):
    return leaving(t, "prefill-3", lambda fleet: fleet.kill(0))


if __name__ == "__main__":
    main(8)
