"""A quarantine that answers have lifted is back after a restart of all daemons."""

import asyncio
import os
import pathlib
import random
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import harness  # noqa: E402

#: Whether the disruption is brought about; `TROUBLE=0` leaves it out.
IS_TROUBLED = os.environ.get("TROUBLE", "1") != "0"
DAEMONS = tuple(f"127.0.61.{number}" for number in range(1, 4))
RUNNERS = tuple(f"127.0.62.{number}" for number in range(1, 17))
#: Runners that crash at the same time: share 0.25 at most; seconds until they are back.
CRASHED, CRASH_DOWN = 4, 5.0
#: Seconds after the start of traffic at which they crash; no stream has ended by then.
CRASH_AT = 1.5
#: Requests a second, and seconds of traffic before the final fault.
RATE, DAY = 20.0, 20.0
#: `down_s` of the final fault `kill_all`, and `recover_s`.
FINAL_DOWN, RECOVER = 0.64, 12.0
#: Tokens of the part that all prompts share, of the part that the prompts of one group
#: share, and of each request's own part.
SHARED, GROUP, OWN = 119, 79, 628
GROUPS = 40
EVENTS, STRIDE, STEP = 49, 6, 0.06


class ModelRunner(harness.Runner):
    """Streams events; after a crash it is back under another id."""

    async def start(self, port: int = 0) -> None:
        self.handler = self._stream
        await super().start(port)

    async def _stream(self, line, headers, body, writer) -> None:
        self.begin(headers, body)
        try:
            lines = "".join(f"{k}: {v}\r\n" for k, v in self.make_head(headers).items())
            head = (
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                f"Transfer-Encoding: chunked\r\n{lines}\r\n"
            )
            writer.write(head.encode())
            for number in range(1, EVENTS + 1):
                event = f"id: {number}\ndata: {'t' * 40}\n\n".encode()
                writer.write(b"%x\r\n%b\r\n" % (len(event), event))
                await writer.drain()
                await asyncio.sleep(STEP)
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        finally:
            self.running -= 1

    async def fail(self) -> None:
        """Crash, and start again some seconds later."""
        self.record.write(f"runner {self.name} crashes")
        await self.crash()
        await asyncio.sleep(CRASH_DOWN)
        self.store.remove("servers", self.name)
        self.name = f"i-{random.getrandbits(40):010x}"
        self.born, self.sequence = int(time.time() * 1000), 0
        await self.start(self.port)


async def send(ip: str, record, results: list) -> None:
    """Send one request, which no client sends again."""
    request_id = harness.new_id()
    own = f"{random.getrandbits(32):08x}"
    group = random.randrange(1, GROUPS + 1)
    headers = {
        "Attempt-Id": request_id,
        "Api-Key": harness.KEY,
        "Deadline-Ms": "12000",
        "Model": "m",
        "Token-Counts": f"{SHARED + GROUP + OWN},{EVENTS * STRIDE}",
        "Prompt-Prefix": f"5c1e07a2:{SHARED},{group:08x}:{GROUP},{own}:{OWN}",
    }
    try:
        answer = await harness.fetch(ip, 8227, "POST", "/chat/x", headers, own.encode())
    except OSError as error:
        answer = harness.Answer()
        answer.error = type(error).__name__
    retry = answer.headers.get("retry-after", "-")
    reason = answer.body.decode().strip() if answer.status == 503 else ""
    record.write(f"{request_id} at {ip}: {answer} {reason} Retry-After {retry}")
    results.append(answer.status == 200 and answer.is_complete)


async def send_all(seconds: float, record) -> list:
    results: list[bool] = []
    began = time.monotonic()
    tasks = []
    for number in range(int(seconds * RATE)):
        await asyncio.sleep(began + number / RATE - time.monotonic())
        ip = DAEMONS[number % len(DAEMONS)]
        tasks.append(asyncio.create_task(send(ip, record, results)))
    await asyncio.gather(*tasks)
    return results


async def crash_runners(runners, record) -> None:
    await asyncio.sleep(CRASH_AT)
    busiest = sorted(runners, key=lambda runner: -runner.running)
    await asyncio.gather(*(runner.fail() for runner in busiest[:CRASHED]))


async def main(record) -> bool:
    store = harness.Store("127.0.0.1", record)
    await store.start()
    route = harness.make_route(
        "chat", "/chat/", "streaming", "llm", timeout_ms=12000, max_attempts=1
    )
    engine = {"slots": 64, "kv_capacity_tokens": 497407, "stride": STRIDE}
    services = [{"name": "llm", "max_connections": 360, "engine": engine}]
    store.put("op", "config", harness.make_config([route], services))
    runners = [ModelRunner(store, "llm", ip, record) for ip in RUNNERS]
    for runner in runners:
        await runner.start()
    daemons = harness.Daemons(store, record)
    crashes = None
    try:
        await asyncio.gather(*(daemons.start(ip) for ip in DAEMONS))
        # Traffic starts some seconds after the machines do.
        await asyncio.sleep(3.0)
        if IS_TROUBLED:
            crashes = asyncio.create_task(crash_runners(runners, record))
        before = await send_all(DAY, record)
        record.write(f"served before the final fault: {sum(before)} of {len(before)}")
        if crashes is not None:
            await crashes
            record.write("final fault: all daemons are killed")
            for ip in DAEMONS:
                daemons.signal(ip, signal.SIGKILL)
            for ip in DAEMONS:
                await daemons.processes[ip].wait()
            await asyncio.sleep(FINAL_DOWN)
            await asyncio.gather(*(daemons.start(ip) for ip in DAEMONS))
        await asyncio.sleep(RECOVER)
        after = await send_all(6.0, record)
        record.write(
            f"served 12 s after the machines were back: {sum(after)} of {len(after)}"
        )
        for (table, _, key), (_, value) in store.rows.items():
            if table == "quarantine":
                record.write(f"row of the quarantine: {key} {value.decode()}")
    finally:
        await daemons.close()
    if sum(before) < len(before) / 4:
        raise harness.CannotRun("too little was served before the final fault")
    return sum(after) >= len(after) / 4


if __name__ == "__main__":
    harness.run_case(main, FOLDER)
