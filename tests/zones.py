#!/usr/bin/env python3
"""Tests complete daemons that serve endpoints of several zones. Each check names the failure that it
guards against. Usage: zones.py [CHECK...]; without arguments it runs all."""
import sys
import time

from edge import GEN, World, config, equal, restore, run_checks, wait


def put_in_zone(store, endpoint, zone, **changes):
    store.put("servers", endpoint.name, dict(endpoint.entry(), zone=zone, **changes))


def zoned(w):
    """Places the first endpoint of each kind in zone z1 and the others in zone z2."""
    for group in (w.shops, w.prefills, w.decodes):
        for n, e in enumerate(group):
            put_in_zone(w.store, e, "z1" if n == 0 else "z2")


def evacuate(store, zone):
    store.put("op", f"evacuate/{zone}", {})


def take_back(store, zone):
    store.put("op", f"evacuate/{zone}", None)


def evacuated(vm):
    return vm.metric("toucanlb_zones_evacuated")


def seen(endpoints):
    return sum(len(e.seen) + e.holds for e in endpoints)


def send_mix(vm, count=12):
    """Sends plain calls and streams; returns their statuses."""
    statuses = [vm.call(f"/look/{n}", attempt=f"l{n}")[0] for n in range(count)]
    return statuses + [vm.call(f"/gen/{n}", "POST", "x", headers=GEN, attempt=f"g{n}")[0]
                       for n in range(count)]


def check_evacuated_zone_gets_no_requests():
    """Requests of every kind must stay away from a zone that the operator evacuates, until it is
    taken back."""
    with World(prefills=2, decodes=2, shops=2) as w:
        zoned(w)
        vm = w.start()
        evacuate(w.store, "z1")
        wait(lambda: evacuated(vm) == 1, "the evacuation is known")
        in_zone = [w.shops[0], w.prefills[0], w.decodes[0]]
        before = seen(in_zone)
        equal(set(send_mix(vm)), {200}, "statuses")
        equal(seen(in_zone), before, "requests in the evacuated zone")
        take_back(w.store, "z1")
        wait(lambda: evacuated(vm) == 0, "the zone is taken back")
        w.shops[1].plan = lambda h: h.refuse()
        equal(vm.call("/look/back", attempt="back")[0], 200, "answer from the zone")


def check_new_endpoint_of_an_evacuated_zone_gets_no_requests():
    """An endpoint that joins an evacuated zone must not be used either."""
    with World(shops=2) as w:
        zoned(w)
        vm = w.start()
        w.store.put("servers", w.shops[0].name, None)
        evacuate(w.store, "z1")
        wait(lambda: evacuated(vm) == 1, "the evacuation is known")
        put_in_zone(w.store, w.shops[0], "z1")
        wait(lambda: len(vm.events(f"instance instance={w.shops[0].name}")) == 2, "it has joined")
        for n in range(8):
            equal(vm.call(f"/look/{n}", attempt=f"l{n}")[0], 200, "status")
        equal(w.shops[0].seen, [], "requests")


def check_evacuation_survives_a_restart_and_an_outage_of_the_store():
    """A VM that starts reads the evacuation before it is ready, and one that can't reach the store
    learns of it from another VM."""
    with World(vms=2) as w:
        zoned(w)
        w.start()
        w.doors[1].closed = True
        evacuate(w.store, "z1")
        wait(lambda: all(evacuated(vm) == 1 for vm in w.vms), "both know the evacuation")
        w.vms[0].kill()
        w.vms[0].start()
        wait(w.vms[0].ready, "the VM is ready again")
        equal(evacuated(w.vms[0]), 1, "zones evacuated after the restart")
        before = seen(w.shops[:1])
        for n in range(8):
            equal(w.vms[n % 2].call(f"/look/{n}", attempt=f"l{n}")[0], 200, "status")
        equal(seen(w.shops[:1]), before, "requests in the evacuated zone")


def check_evacuation_that_an_older_copy_lacks_holds_until_it_is_written_again():
    """A store that returns from a copy made before the evacuation must not bring the zone back into
    use before the operator has written it again."""
    with World() as w:
        zoned(w)
        vm = w.start()
        version = w.store.version
        evacuate(w.store, "z1")
        wait(lambda: evacuated(vm) == 1, "the evacuation is known")
        restore(w.store, version)
        wait(lambda: vm.events("zone_evacuation_ended"), "the copy without it has been read")
        equal(evacuated(vm), 1, "zones evacuated meanwhile")
        evacuate(w.store, "z1")
        wait(lambda: len(vm.events("zone_evacuated")) == 2, "it was written again")
        time.sleep(2)
        equal(evacuated(vm), 1, "zones evacuated")


def check_stream_under_way_in_an_evacuated_zone_ends_whole():
    """An evacuation asks that nothing more is sent; streams that run must not be cut."""
    with World(decodes=1) as w:
        put_in_zone(w.store, w.decodes[0], "z1")
        vm = w.start()
        w.decodes[0].plan = lambda h: h.stream(0, pause=0.3) or True
        r = vm.send("/gen/a", "POST", "x", headers=GEN)
        equal(r.status, 200, "status")
        evacuate(w.store, "z1")
        wait(lambda: evacuated(vm) == 1, "the evacuation is known")
        equal(r.read().count(b"id: "), 4, "events")


def check_all_zones_evacuated_is_refused_at_once():
    """Without an endpoint that may be used the refusal comes at once and promises that nothing ran;
    a row for an unknown zone, or without one, changes nothing."""
    with World() as w:
        vm = w.start()
        evacuate(w.store, "nowhere")
        w.store.put("op", "evacuate/", {})
        wait(lambda: vm.events("evacuation_ignored"), "the row without a zone is named")
        equal(vm.call("/pay/a", "POST", "x")[0], 200, "status beside an unknown zone")
        evacuate(w.store, "z1")
        wait(lambda: evacuated(vm) == 2, "the evacuation is known")
        begin = time.monotonic()
        status, _, r = vm.call("/pay/b", "POST", "x", attempt="b")
        equal(status, 503, "status")
        assert r.getheader("Retry-After"), "no time to return"
        assert time.monotonic() - begin < 0.5, "the refusal came late"


def cold_config(**cold):
    c = config(3)
    c["services"][0].update(cold)
    return c


def check_cold_endpoint_gets_requests_at_its_rate():
    """A cold endpoint must get no more requests than it bears from all VMs together, while the others
    carry the load; afterwards it is used like them."""
    with World(vms=2) as w:
        put_in_zone(w.store, w.shops[0], "z1", coldRemainingMs=2500)
        w.start(cold_config(coldStartS=3, coldPerS=6))
        begin = time.monotonic()
        for n in range(60):
            equal(w.vms[n % 2].call(f"/look/{n}", attempt=f"l{n}")[0], 200, "status")
        seconds = time.monotonic() - begin
        most = 6 * 1.5 * (seconds + 1)
        assert len(w.shops[0].seen) <= most, f"{len(w.shops[0].seen)} requests in {seconds:.1f} s"
        wait(lambda: all(vm.metric("toucanlb_cold_endpoints") == 0 for vm in w.vms), "it is warm")
        before = len(w.shops[0].seen)
        for n in range(60):
            w.vms[n % 2].call(f"/look/w{n}", attempt=f"w{n}")
        assert len(w.shops[0].seen) - before > 10, "the warm endpoint is used"


def check_cold_rate_that_is_none_is_named():
    """A rate that can't be used must be logged, and must not keep the service out of use."""
    with World() as w:
        vm = w.start(cold_config(coldStartS=3, coldPerS="many"))
        assert vm.events("config_entry_left_out"), "the rate is named"
        equal(vm.call("/look/a")[0], 200, "status")


if __name__ == "__main__":
    sys.exit(run_checks("zones", globals()))
