"""Server for incoming connections from peers."""

from collections.abc import Callable

from expression import Result
from loguru import logger
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpserver import TCPServer

from kingcuphead.peers._envelope import Envelope, decode_envelope
from kingcuphead.peers._frames import FrameTooLargeError, read_frame


class PeerServer(TCPServer):
    """Accepts connections from peers and passes on their messages in order of receipt.

    Parameters
    ----------
    deliver
        Called with each decoded envelope.
    """

    def __init__(self, deliver: Callable[[Envelope], None]) -> None:
        super().__init__()
        self._deliver = deliver

    async def handle_stream(self, stream: IOStream, address: tuple[str, int]) -> None:
        """Deliver messages until the peer disconnects or sends an invalid frame."""
        try:
            while await self._deliver_next(stream):
                pass
        except StreamClosedError:
            pass
        except FrameTooLargeError as error:
            logger.warning("{}", error)
        finally:
            stream.close()

    async def _deliver_next(self, stream: IOStream) -> bool:
        match decode_envelope(await read_frame(stream)):
            case Result(tag="ok", ok=envelope):
                self._deliver(envelope)
                return True
            case Result(error=fault):
                logger.warning("{}", fault.message)
        return False
