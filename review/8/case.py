"""Runners crash and all daemons are killed before a new prompt was ever answered."""

import asyncio
import os
import random
import secrets
import signal
import sys
import traceback

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-2"))

from fleet import Fleet, Record, send_stream  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RUNNERS, DAEMONS = 16, 3
#: Runners that crash, and the seconds until they are back.
CRASHED, RUNNER_DOWN = 4, 5.0
REQUESTS_PER_SECOND, EVENTS, GAP = 32, 49, 0.1
OLD_PART, NEW_PART = "0a1b2c3d", "5c1e07a2"
#: Seconds with the old part of prompts; from the new one to the crash and to the kill.
OLD_SECONDS, CRASH_AT, KILL_AT = 9.0, 2.0, 3.2
DOWN, RECOVER, JUDGED = 0.64, 12.0, 5.0
CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r-1", "host": "chat.example", "prefix": "/chat/",
            "kind": "streaming", "service": "pool", "max_attempts": 1,
            "timeout_ms": 12000, "target_latency_ms": 800, "priority": 1,
            "allow_anonymous": False, "session_affinity": True,
            "stream_resume": False, "gap_aim_ms": 400,
        }
    ],
    "services": [
        {
            "name": "pool", "health_path": "/health", "max_connections": 360,
            "engine": {
                "slots": 64, "kv_capacity_tokens": 497407, "kv_token_bytes": 18432,
                "link_mbps": 130000.0, "moves": False, "backups": False,
                "stride": 1, "models": [{"name": "m"}],
            },
        }
    ],
    "limits": {
        "max_header_bytes": 16384, "max_body_bytes": 4194304,
        "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
    },
    "tenants": [
        {
            "name": "tenant-1", "api_keys": ["key-1"], "priority": 1,
            "prepaid": 100_000_000,
        }
    ],
}


class Case:
    def __init__(self, record):
        self.record = record
        self.fleet = Fleet(record)
        self.part = OLD_PART
        # When each request was sent, and whether it was served.
        self.ends = []

    async def ask(self, number):
        sent_at, part = self.record.now(), self.part
        identity = secrets.token_hex(8)
        daemon = self.fleet.daemons[number % DAEMONS]
        self.record.write(f"client sends {identity} to daemon {daemon.number}, {part}")
        headers = {
            "Host": "chat.example", "Attempt-Id": identity, "Deadline-Ms": "12000",
            "Api-Key": "key-1", "Model": "m", "Token-Counts": "747,80",
            "Prompt-Prefix": f"{part}:119,{part[:4]}{number % 40:04x}:79,{identity[:8]}:549",
        }
        status, events, is_complete = await send_stream(
            daemon, "/chat/1", headers, identity.encode(), 12.0
        )
        self.record.write(
            f"client gets {status} for {identity}: {len(events)} events, "
            f"complete: {is_complete}"
        )
        self.ends.append((sent_at, status == 200 and is_complete))

    async def send_all(self):
        tasks = []
        for number in range(100_000):
            tasks.append(asyncio.create_task(self.ask(number)))
            try:
                await asyncio.sleep(1 / REQUESTS_PER_SECOND)
            except asyncio.CancelledError:
                await asyncio.gather(*tasks)
                return

    async def run(self):
        options = {"events": EVENTS, "gap_s": GAP}
        await self.fleet.start(DAEMONS, CONFIGURATION, [("pool", RUNNERS, 64, options)])
        for runner in self.fleet.runners:
            runner.down_seconds = RUNNER_DOWN
        await asyncio.sleep(4)
        sending = asyncio.create_task(self.send_all())
        await asyncio.sleep(OLD_SECONDS)
        self.record.write("all clients send the new part from now on")
        self.part = NEW_PART
        await asyncio.sleep(CRASH_AT)
        if TROUBLE:
            self.record.write(f"{CRASHED} of {RUNNERS} runners crash")
            for runner in random.sample(self.fleet.runners, CRASHED):
                runner.crash()
        await asyncio.sleep(KILL_AT - CRASH_AT)
        killed_at = self.record.now()
        if TROUBLE:
            self.record.write("all daemons are killed")
            for daemon in self.fleet.daemons:
                daemon.kill(signal.SIGKILL)
            for daemon in self.fleet.daemons:
                daemon.wait()
            await asyncio.sleep(DOWN)
            for daemon in self.fleet.daemons:
                daemon.start()
        back_at = self.record.now()
        await asyncio.sleep(RECOVER + JUDGED)
        sending.cancel()
        await sending
        for daemon in self.fleet.daemons:
            self.record.write(
                f"daemon {daemon.number} has refused as quarantined: "
                f"{daemon.read_log().count(chr(34) + 'quarantined' + chr(34))}"
            )
        before = self.count_served("before the kill", 0.0, killed_at)
        after = self.count_served("12 s after the restart", back_at + RECOVER, 1e9)
        if before < 0.25:
            return 2
        return 1 if after < 0.25 else 0

    def count_served(self, name, since, until):
        ends = [is_served for at, is_served in self.ends if since < at < until]
        self.record.write(f"{name}: {len(ends)} requests, {sum(ends)} served")
        return sum(ends) / max(1, len(ends))


async def main():
    record = Record(os.path.join(HERE, "record.txt"))
    case = Case(record)
    try:
        async with asyncio.timeout(100):
            result = await case.run()
    except Exception:
        record.write(traceback.format_exc())
        result = 2
    finally:
        await case.fleet.stop()
    record.write(f"exit {result}")
    return result


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
