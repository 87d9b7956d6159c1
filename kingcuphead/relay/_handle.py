"""Configures libcurl handles and reads the result of a transfer from them."""

import pycurl

from kingcuphead.relay._ending import EndCause, TransferEnd
from kingcuphead.relay._headers import filter_request_headers, format_header_lines
from kingcuphead.relay._messages import RelayLimits, RelayRequest
from kingcuphead.relay._transfer import Transfer

#: Headers that libcurl adds by default; a line without a value removes them.
_SUPPRESSED_HEADERS = ("Accept:", "Expect:", "User-Agent:", "Content-Type:")

_MILLISECONDS_PER_SECOND = 1000
#: Detail of a response without length that ended before the request was sent.
_EARLY_END = "the connection ended before the request was sent"


def configure_handle(
    handle: pycurl.Curl, request: RelayRequest, limits: RelayLimits
) -> None:
    """Configure a new or reset handle for a request.

    Raises
    ------
    ValueError
        If the path or a header can't be sent unchanged.
    """
    if not request.path.startswith("/") or any(c in request.path for c in "\r\n\0 "):
        raise ValueError(
            "the path must start with a slash and contain no space, line break or null"
        )
    handle.setopt(pycurl.URL, f"http://{request.address}/")
    handle.setopt(pycurl.REQUEST_TARGET, request.path.encode("latin-1"))
    handle.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
    handle.setopt(pycurl.HTTP09_ALLOWED, 0)
    handle.setopt(pycurl.PROXY, "")
    handle.setopt(pycurl.NOSIGNAL, 1)
    handle.setopt(pycurl.MAXAGE_CONN, limits.connection_idle)
    handle.setopt(
        pycurl.CONNECTTIMEOUT_MS,
        max(1, int(request.timeouts.connect * _MILLISECONDS_PER_SECOND)),
    )
    if not request.idempotent:
        # libcurl resends a request by itself if a reused connection turns out to be
        # closed, so that the request could run twice.
        handle.setopt(pycurl.FRESH_CONNECT, 1)
    _set_method(handle, request)
    _set_headers(handle, request)


def read_end(
    handle: pycurl.Curl, transfer: Transfer, code: int | None, text: str
) -> TransferEnd:
    """Return the result of a transfer that has ended.

    Parameters
    ----------
    handle : pycurl.Curl
        Handle of the transfer, before it is reset.
    transfer : Transfer
        The transfer of this handle.
    code : int | None
        Error code of libcurl; None if the response is complete.
    text : str
        Error message of libcurl for the code.
    """
    sent = int(handle.getinfo(pycurl.REQUEST_SIZE))
    received = transfer.received_bytes
    uploaded = int(handle.getinfo(pycurl.SIZE_UPLOAD_T))
    match code:
        # A target that closes the connection before it has the request resets it next,
        # and may have done so within its answer.
        case None if not transfer.is_framed and uploaded < transfer.request_bytes:
            return TransferEnd(EndCause.BROKEN, sent, received, _EARLY_END)
        case None if transfer.head is not None:
            return TransferEnd(EndCause.COMPLETE, sent, received)
        case pycurl.E_COULDNT_CONNECT:
            return TransferEnd(EndCause.CONNECT_FAILED, sent, received, text)
        case pycurl.E_OPERATION_TIMEDOUT:
            return TransferEnd(EndCause.CONNECT_TIMEOUT, sent, received, text)
        case _:
            return TransferEnd(EndCause.BROKEN, sent, received, text)


def _set_method(handle: pycurl.Curl, request: RelayRequest) -> None:
    if request.method == "HEAD":
        handle.setopt(pycurl.NOBODY, 1)
    elif request.body is not None:
        handle.setopt(pycurl.POST, 1)
        handle.setopt(pycurl.POSTFIELDS, request.body)
    else:
        handle.setopt(pycurl.HTTPGET, 1)
    handle.setopt(pycurl.CUSTOMREQUEST, request.method)


def _set_headers(handle: pycurl.Curl, request: RelayRequest) -> None:
    forwarded = tuple(filter_request_headers(request.headers.items()))
    lines = format_header_lines(forwarded)
    names = {name.lower() for name, _ in forwarded}
    lines += [line for line in _SUPPRESSED_HEADERS if line[:-1].lower() not in names]
    handle.setopt(pycurl.HTTPHEADER, [line.encode("latin-1") for line in lines])
