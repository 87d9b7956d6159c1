"""Child processes of the relay benchmark."""

import asyncio
import contextlib
import sys
from collections.abc import AsyncIterator

from tornado.tcpclient import TCPClient

#: Seconds within which a new process must accept connections.
START_TIMEOUT = 20.0


@contextlib.asynccontextmanager
async def run_module(module: str, *arguments: str) -> AsyncIterator[None]:
    """Run a module as a child process; terminate it when the context ends.

    Parameters
    ----------
    module : str
        Name of the module.
    *arguments : str
        Command line arguments; the first is `--port=NUMBER`.
    """
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", module, *arguments
    )
    try:
        port = int(arguments[0].removeprefix("--port="))
        await asyncio.wait_for(_wait_for_port(port), START_TIMEOUT)
        yield
    finally:
        process.terminate()
        await process.wait()


async def _wait_for_port(port: int) -> None:
    while True:
        try:
            stream = await TCPClient().connect("127.0.0.1", port)
        except OSError:
            await asyncio.sleep(0.05)
        else:
            stream.close()
            return
