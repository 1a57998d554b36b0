#!/usr/bin/env python3
"""Preemption of batch work (docs/design.md, section 3.10): a batch stream that gives way to an
interactive request goes on later with no token missing or doubled, the interactive request gets its
place, and no memory stays held (promises 1, 2 and 5)."""
import re
import threading
import time

from harness import (Failed, ask, case, complete, completion_body, judge_completion, main, output_of,
                     parallel, wait_until)

RELEASED = 15.0  # seconds until no piece is held once all callers are answered or gone (promise 1)
PROMPT_TOKENS = 14000  # with the output 8 pieces
BATCH_TOKENS = 64
DECODES = 2
STREAMS = 10  # five fill an endpoint but for the batch reserve and one more request
TOKEN_US = 180000
SLOW_TOKEN_US = 300000  # with this the batch streams outlast a takeover
INTERACTIVE = 6
INTERACTIVE_TOKENS = 40  # so long that those which wait can't follow those which found room


def long_prompt(t):
    """A prompt whose output is long enough to be still running when it is preempted."""
    while True:
        prompt = t.prompt(PROMPT_TOKENS)
        if len(output_of(prompt, BATCH_TOKENS).split()) >= 44:
            return prompt


def start_fleet(t, edit_settings=None, token_us=TOKEN_US):
    gone = {f"config/endpoint/decode-{i}": None for i in range(DECODES + 1, 8)}
    return t.fleet(rows=gone, edit_settings=edit_settings, standin_options={
        f"decode-{i}": ["--token-us", str(token_us)] for i in range(1, DECODES + 1)})


def earn_credit(t, fleet):
    """Each endpoint's book preempts one booking in 20 that it granted."""
    def small(i):
        r = complete(fleet, i % len(fleet.callers), t.prompt(20), 1, False)
        if r.status != 200:
            raise Failed(f"warm-up request: {r}")
    for _ in range(9):
        parallel([lambda i=i: small(i) for i in range(32)])


def held(fleet):
    return sum(e.state()["held_pieces"] for e in fleet.decodes[:DECODES])


def log_lines(fleet, event):
    return [line for line in fleet.logs().splitlines() if f"event={event} " in line]


class Run:
    """Batch streams that fill the endpoints, then interactive requests that need their memory."""

    def __init__(self, t, fleet):
        self.t, self.fleet = t, fleet
        self.verdicts = []
        self.lost = set()  # VMs whose callers may see a broken connection
        self.threads = []
        self.lock = threading.Lock()

    def one(self, vm, prompt, tokens, **more):
        body = completion_body(self.fleet, prompt, tokens, True, **more)
        r = ask(self.fleet.callers[vm], "POST", "/v1/completions", self.fleet.key, body, None, 60)
        verdict = judge_completion(r, prompt, tokens, True)
        with self.lock:
            self.verdicts.append((verdict, vm, more.get("priority", "interactive")))
        if verdict != "whole":
            self.t.note((verdict, vm, more, r))

    def start(self, count, tokens, **more):
        for _ in range(count):
            args = (self.t.vm(self.fleet, self.lost), long_prompt(self.t), tokens)
            th = threading.Thread(target=self.one, args=args, kwargs=more)
            th.start()
            self.threads.append(th)

    def fill(self):
        self.start(STREAMS, BATCH_TOKENS, priority="batch")
        if wait_until(lambda: held(self.fleet) >= STREAMS * 8, 10) is None:
            raise Failed(f"batch streams hold only {held(self.fleet)} pieces")
        time.sleep(1.2)

    def finish(self):
        for th in self.threads:
            th.join()
        if not log_lines(self.fleet, "preempted"):
            raise Failed("no batch stream gave way")
        return self.judge()

    def judge(self):
        """After the last answer: the answers that are not whole, and the bookings that were cancelled
        although their VM renewed them."""
        bad = [v for v in self.verdicts if v[0] != "whole" and v[1] not in self.lost]
        bad += [v for v in self.verdicts if v[0] == "wrong" and v[1] in self.lost]
        if self.fleet.wait_released(RELEASED) is None:
            self.t.note([(e.name, e.state()) for e in self.fleet.engines])
            raise Failed(f"memory is held {RELEASED:.0f} s after the last answer")
        lapsed = [line for line in log_lines(self.fleet, "booking_lapsed")
                  if int(re.search(r"owner=vm-(\d+)/", line)[1]) - 1 not in self.lost]
        for line in lapsed:
            self.t.note(line)
        return len(bad) + len(lapsed), 0


def preempt(t, disturb=None, token_us=TOKEN_US):
    with start_fleet(t, token_us=token_us) as fleet:
        earn_credit(t, fleet)
        run = Run(t, fleet)
        run.fill()
        if disturb:
            disturb(t, fleet, run)
        else:
            run.start(INTERACTIVE, INTERACTIVE_TOKENS)
        return run.finish()


@case
def batch_streams_give_way(t):
    """Guards against interactive requests that wait for batch streams to end, and against tokens
    that a preempted stream misses or repeats."""
    return preempt(t)


@case
def weights_keep_batch_streams(t):
    """Settings that weigh goodput more: no batch stream gives way, and each is whole."""
    def edit(_, path):
        with open(path, "a", encoding="utf-8") as f:
            f.write("policy:\n  goodput_weight: 3.0\n")
    with start_fleet(t, edit) as fleet:
        earn_credit(t, fleet)
        run = Run(t, fleet)
        run.fill()
        filled = list(run.threads)
        run.start(INTERACTIVE, INTERACTIVE_TOKENS)
        for th in run.threads:
            th.join()
        t.note(run.verdicts)
        whole = sum(v[0] == "whole" for v in run.verdicts)
        return len(log_lines(fleet, "preempt")) + max(0, len(filled) - whole), 0


def victim_vm(fleet, seconds=6):
    """The VM of the first booking that an owner asks to give way."""
    def asked():
        return log_lines(fleet, "preempt")
    if wait_until(asked, seconds, 0.02) is None:
        raise Failed("no batch stream was asked to give way")
    return int(re.search(r"owner=vm-(\d+)/", asked()[0]).group(1)) - 1


def freeze_holders(seconds):
    """A frozen VM takes Preempt late, and again when the owner repeats it."""
    def disturb(t, fleet, run):
        holders = t.random.sample(range(len(fleet.callers)), 2)
        for vm in holders:
            fleet.freeze(vm)
        run.lost.update(holders)
        run.start(INTERACTIVE, INTERACTIVE_TOKENS)
        time.sleep(seconds)
        for vm in holders:
            fleet.thaw(vm)
    return disturb


@case
def preempt_arrives_late_and_twice(t):
    """Two VMs are frozen for less than a lease: they get Preempt late, and possibly again. None of
    their streams may miss or repeat a token."""
    return preempt(t, freeze_holders(2.2))


@case
def holders_frozen_past_their_lease(t):
    """Preempt is lost on them; the claim ends and their memory is free within promise 1's bound."""
    return preempt(t, freeze_holders(8), SLOW_TOKEN_US)


def book_owner(fleet, endpoint):
    """The VM that sent the last order to the endpoint, which owns its book."""
    sent = [(m[1], vm) for vm in range(len(fleet.callers))
            for m in re.finditer(rf"^(\S+) .*event=order endpoint={endpoint} decision=send ",
                                 log_of(fleet, vm), re.M)]
    if not sent:
        raise Failed(f"no order to {endpoint} in the logs")
    return max(sent)[1]


def book_owners(fleet):
    return {book_owner(fleet, f"decode-{i}") for i in range(1, DECODES + 1)}


@case
def former_owner_cancels_no_stream(t):
    """An owner that was frozen past its lease missed the renewals of all bookings: it must not cancel
    the streams of other VMs when it goes on."""
    with start_fleet(t, token_us=SLOW_TOKEN_US) as fleet:
        run = Run(t, fleet)
        run.fill()
        run.lost = book_owners(fleet)
        for vm in run.lost:
            fleet.freeze(vm)
        time.sleep(8)
        for vm in run.lost:
            fleet.thaw(vm)
        for th in run.threads:
            th.join()
        return run.judge()


@case
def owners_frozen_within_their_lease(t):
    """Renewals reach the owners of both books while these are frozen, each time for less than their
    lease: no booking of another VM may lapse before the renewals that wait were read."""
    with start_fleet(t, token_us=SLOW_TOKEN_US) as fleet:
        run = Run(t, fleet)
        run.fill()
        run.lost = book_owners(fleet)
        for _ in range(4):
            for vm in run.lost:
                fleet.freeze(vm)
            time.sleep(2.7)
            for vm in run.lost:
                fleet.thaw(vm)
            time.sleep(t.random.uniform(0.2, 0.8))
        for th in run.threads:
            th.join()
        return run.judge()


@case
def owners_frozen_past_their_lease(t):
    """The owners of both books are frozen while interactive requests wait: the new owners must ask
    the batch streams that they adopt to give way, before the requests are refused. The wait of the
    requests ends at any moment of the takeover."""
    def disturb(t, fleet, run):
        owners = book_owners(fleet)
        run.lost.update(owners)
        run.start(INTERACTIVE, INTERACTIVE_TOKENS)
        time.sleep(t.random.uniform(0, 0.8))
        for vm in owners:
            fleet.freeze(vm)
        time.sleep(8)
        for vm in owners:
            fleet.thaw(vm)
    return preempt(t, disturb, SLOW_TOKEN_US)


@case
def holder_killed(t):
    """The VM of a stream that was asked to give way dies."""
    def disturb(_, fleet, run):
        run.start(INTERACTIVE, INTERACTIVE_TOKENS)
        vm = victim_vm(fleet)
        run.lost.add(vm)
        fleet.kill(vm)
    return preempt(t, disturb)


@case
def owner_killed(t):
    """The owner of a book dies after it asked streams to give way: their VMs go on without it."""
    def disturb(_, fleet, run):
        run.start(INTERACTIVE, INTERACTIVE_TOKENS)
        victim_vm(fleet)
        owner = next(vm for vm in range(len(fleet.callers)) if "event=preempt " in log_of(fleet, vm))
        run.lost.add(owner)
        fleet.kill(owner)
    return preempt(t, disturb)


def log_of(fleet, vm):
    with open(f"{fleet.dir}/vm-{vm + 1}.decisions.log", encoding="utf-8") as f:
        return f.read()


if __name__ == "__main__":
    main(14)
