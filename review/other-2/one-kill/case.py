"""All processes are killed while streams run; later the budget serves nothing."""

import asyncio
import os
import secrets
import signal
import sys
import traceback

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "..", "lib-2"))

from fleet import Fleet, Record, send_stream  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DAEMONS, RUNNERS = 3, 3
#: Tokens that the tenant may consume in all.
PREPAID = 191_000
#: Tokens of a request: prompt, output at most, output of each event.
PROMPT, MOST_OUTPUT, STRIDE = 40, 4_000, 1
#: Events of each stream, and seconds between them.
EVENTS, GAP = 80, 0.25
REQUESTS_PER_SECOND = 2
#: Seconds from the first request to the kill, until the restart, and to the end.
KILL_AT, DOWN, JUDGED = 24.0, 1.3, 10.0
RECOVER, SETTLE, OWED_SHARE = 12.0, 1.5, 0.97
CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r-1", "host": "chat.example", "prefix": "/chat/",
            "kind": "streaming", "service": "pool", "max_attempts": 1,
            "timeout_ms": 25000, "target_latency_ms": 1000, "priority": 1,
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
                "stride": STRIDE, "models": [{"name": "m"}],
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
            "prepaid": PREPAID,
        }
    ],
}


class Request:
    """One request as its client sees it."""

    def __init__(self, at, is_owed):
        self.at, self.is_owed = at, is_owed
        self.ended_at = None
        self.events = 0
        self.is_served = False

    def count_consumed(self, now):
        """Return the tokens that it counts for at a time; at its most until settled."""
        if self.ended_at is None or now < self.ended_at + SETTLE:
            return PROMPT + MOST_OUTPUT
        return PROMPT + self.events * STRIDE if self.events else 0


class Case:
    def __init__(self, record):
        self.record = record
        self.fleet = Fleet(record)
        self.requests = []

    async def ask(self, number):
        now = self.record.now()
        consumed = sum(each.count_consumed(now) for each in self.requests)
        is_owed = consumed + PROMPT + MOST_OUTPUT <= OWED_SHARE * PREPAID
        request = Request(now, is_owed)
        self.requests.append(request)
        identity = secrets.token_hex(8)
        daemon = self.fleet.daemons[number % DAEMONS]
        self.record.write(
            f"client sends {identity} to daemon {daemon.number}; "
            f"{consumed} of {PREPAID} tokens count at most, owed: {is_owed}"
        )
        headers = {
            "Host": "chat.example", "Attempt-Id": identity, "Deadline-Ms": "25000",
            "Api-Key": "key-1", "Model": "m",
            "Token-Counts": f"{PROMPT},{MOST_OUTPUT}",
            "Prompt-Prefix": f"a1b2c3d4:20,{identity[:8]}:20",
        }
        status, events, is_complete = await send_stream(
            daemon, "/chat/1", headers, b"prompt", 25.0
        )
        request.ended_at = self.record.now()
        request.events, request.is_served = len(events), status == 200 and is_complete
        self.record.write(
            f"client gets {status} for {identity}: {len(events)} events, "
            f"complete: {is_complete}"
        )

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
        await asyncio.sleep(4)
        began = self.record.now()
        sending = asyncio.create_task(self.send_all())
        await asyncio.sleep(KILL_AT)
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
        return self.judge(began, killed_at, back_at)

    def judge(self, began, killed_at, back_at):
        early = [each for each in self.requests if each.at < killed_at - EVENTS * GAP]
        late = [each for each in self.requests if each.at > back_at + RECOVER]
        before = self.count_served("before", early)
        after = self.count_served(f"later than {RECOVER:g} s after the restart", late)
        tokens = sum(PROMPT + each.events * STRIDE for each in self.requests
                     if each.events)
        self.record.write(f"{tokens} of {PREPAID} tokens were consumed in all")
        if before < 0.25 or not any(each.is_owed for each in late):
            return 2
        return 1 if after < 0.25 else 0

    def count_served(self, name, requests):
        owed = [each for each in requests if each.is_owed]
        served = sum(each.is_served for each in owed)
        self.record.write(
            f"{name}: {len(requests)} requests, {len(owed)} owed, {served} served"
        )
        return served / max(1, len(owed))


async def main():
    record = Record(os.path.join(HERE, "record.txt"))
    case = Case(record)
    try:
        async with asyncio.timeout(110):
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
