#!/usr/bin/env python3
"""Rotates the peer key of a running fleet and guards against a rotation that disconnects the
daemons from each other. Steps: add the new key, sign with it, remove the old key."""
import json
import os
import re
import secrets
import signal
import subprocess
import sys
import tempfile
import time
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
VMS = 3
# A session expires 3 s after its last grant, so a lost connection shows within this time.
STEP_SECONDS = 4.5


def read_env(path):
    with open(path, encoding="utf-8") as f:
        return dict(re.findall(r'^(\w+)="(.*)"$', f.read(), re.M))


def all_valid(env):
    with open(env["OPERATOR_CREDENTIAL_FILE"], encoding="utf-8") as f:
        credential = f.read().strip()
    for addr in env["OPERATOR_ADDRS"].split():
        request = urllib.request.Request(f"http://{addr}/v1/status",
                                         headers={"Authorization": f"Bearer {credential}"})
        with urllib.request.urlopen(request, timeout=3) as answer:
            if not json.load(answer)["session_valid"]:
                return False
    return True


def rotate(directory, env, lines):
    path = os.path.join(directory, "peer.secrets")
    with open(path, "w", encoding="utf-8") as f:
        f.write("".join(f"peer_key: {n} {key}\n" for n, key in lines))
    for pid in env["VM_PIDS"].split():
        os.kill(int(pid), signal.SIGHUP)
        time.sleep(0.2)
    end = time.monotonic() + STEP_SECONDS
    while time.monotonic() < end:
        if not all_valid(env):
            return False
        time.sleep(0.2)
    return True


def main():
    fleet = os.path.join(ROOT, "scripts", "fleet")
    with tempfile.TemporaryDirectory() as directory:
        subprocess.run([fleet, "start", directory, "--vms", str(VMS)], check=True,
                       stdout=subprocess.DEVNULL)
        try:
            env = read_env(os.path.join(directory, "fleet.env"))
            with open(os.path.join(directory, "peer.secrets"), encoding="utf-8") as f:
                old = (1, f.read().split()[2])
            new = (2, secrets.token_hex(32))
            steps = {"new key accepted": [old, new], "new key signs": [new, old],
                     "old key removed": [new]}
            results = {name: rotate(directory, env, lines) for name, lines in steps.items()}
            # A VM that signs with an unknown key must lose its session: the others check the MAC.
            results["unknown key cut off"] = not rotate(directory, {**env, "VM_PIDS": env[
                "VM_PIDS"].split()[0]}, [(3, secrets.token_hex(32))])
        finally:
            subprocess.run([fleet, "stop", directory], check=True, stdout=subprocess.DEVNULL)
    for name, ok in results.items():
        print(f"rotate: {name}: {'ok' if ok else 'FAILED'}")
    return 0 if all(results.values()) else 1


if __name__ == "__main__":
    sys.exit(main())
