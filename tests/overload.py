#!/usr/bin/env python3
"""Tests the overload control of plain services with several daemons and endpoints of small capacity.
Each check names the failure that it guards against. Usage: overload.py [CHECK...]; without arguments
it runs all."""
import signal
import sys
import threading
import time

from edge import World, equal, run_checks, wait

SLOTS = 2
QUEUE = 6
SERVICE_TIME_S = 0.02
CALLERS = 30  # of each VM; each sends one request at a time, so that the endpoints are always full


class Limited:
    """Gives an endpoint some slots and a queue, beyond which it refuses calls as full."""

    def __init__(self, endpoint):
        self.slots = threading.Semaphore(SLOTS)
        self.lock = threading.Lock()
        self.inside = 0
        self.refused = []  # times
        endpoint.plan = self.handle

    def handle(self, handler):
        with self.lock:
            full = self.inside >= SLOTS + QUEUE
            self.inside += not full
        if full:
            self.refused.append(time.monotonic())
            return handler.refuse()
        with self.slots:
            time.sleep(SERVICE_TIME_S)
        with self.lock:
            self.inside -= 1
        handler.answer(200, b"done")
        return True


class Load:
    """Sends requests to the VMs without a pause until it is stopped, each caller after its answer."""

    def __init__(self, vms):
        self.vms = vms
        self.statuses = []
        self.stopped = False
        self.threads = [threading.Thread(target=self.run, args=(vm, n), daemon=True)
                        for vm in vms for n in range(CALLERS)]

    def __enter__(self):
        for t in self.threads:
            t.start()
        return self

    def __exit__(self, *args):
        self.stopped = True
        for t in self.threads:
            t.join()

    def run(self, vm, n):
        i = 0
        while not self.stopped:
            i += 1
            try:
                status = vm.call(f"/pay/{n}", "POST", "x", attempt=f"{vm.name}-{n}-{i}",
                                 headers={"X-Deadline-Ms": "2000"})[0]
            except OSError:
                status = 0
            self.statuses.append(status)
            if status != 200:
                time.sleep(0.1)


def start(w):
    limited = [Limited(e) for e in w.shops]
    for vm in w.vms:
        vm.kill()
        with open(vm.settings, encoding="utf-8") as f:
            text = f.read()
        with open(vm.settings, "w", encoding="utf-8") as f:
            f.write(text.replace("policy: {", "policy: {overload_control: 1, "))
        vm.start()
    w.start()
    return limited


def shed(vms):
    return sum(vm.metric("toucanlb_overload_refused_total") for vm in vms)


def controller(vms):
    """The VM that has computed shares most often."""
    return max(vms, key=lambda vm: len(vm.events("overload_shares")))


def refusals(limited, since, seconds):
    return sum(since <= t < since + seconds for e in limited for t in e.refused)


def check_vms_refuse_what_exceeds_the_capacity():
    """Under lasting overload the VMs must refuse the excess themselves, as not run, so that endpoints
    refuse few calls; and in calm afterwards all requests must be sent again."""
    with World(vms=3) as w:
        limited = start(w)
        begin = time.monotonic()
        with Load(w.vms) as load:
            time.sleep(5)
        assert shed(w.vms) > 50, f"{shed(w.vms)} requests refused by VMs"
        first, last = refusals(limited, begin, 1.5), refusals(limited, begin + 3.5, 1.5)
        assert last < first / 2, f"refused by endpoints: {first} at first, {last} at last"
        equal(set(load.statuses) - {200, 503}, set(), "statuses beside 200 and 503")
        time.sleep(4)
        before = shed(w.vms)
        for n in range(20):
            equal(w.vms[n % 3].call(f"/pay/calm-{n}", "POST", "x", attempt=f"c{n}")[0], 200,
                  "status in calm")
        equal(shed(w.vms), before, "refused in calm")


def continues_without(end):
    with World(vms=3) as w:
        start(w)
        with Load(w.vms):
            wait(lambda: shed(w.vms) > 10, "requests are refused by VMs")
            lost = controller(w.vms)
            others = [vm for vm in w.vms if vm is not lost]
            before = sum(len(vm.events("overload_shares")) for vm in others)
            end(lost)
            wait(lambda: sum(len(vm.events("overload_shares")) for vm in others) > before + 3,
                 "another VM controls the service")
            refused = shed(others)
            wait(lambda: shed(others) > refused, "requests are refused by VMs again")
            if lost.process.poll() is None:
                lost.process.send_signal(signal.SIGCONT)


def check_control_goes_on_when_its_vm_is_killed():
    """The VM that computes the shares is lost: the next one must take over from the reports."""
    continues_without(lambda vm: vm.kill())


def check_control_goes_on_when_its_vm_is_frozen():
    """The same for one that does not answer any more."""
    continues_without(lambda vm: vm.process.send_signal(signal.SIGSTOP))


def check_control_does_not_need_the_store():
    """Overload during an outage of the store is controlled too."""
    with World(vms=2) as w:
        start(w)
        w.store.down = True
        with Load(w.vms):
            wait(lambda: shed(w.vms) > 10, "requests are refused by VMs")


if __name__ == "__main__":
    sys.exit(run_checks("overload", globals()))
