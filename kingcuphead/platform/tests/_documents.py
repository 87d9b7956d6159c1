"""What operators, targets and callers write, in the platform's formats."""

import base64
import json


def encode_value(content):
    """Return the value of a row that holds a JSON document."""
    return base64.b64encode(json.dumps(content).encode()).decode()


def encode_configuration(kind, max_attempts, is_resumable=False):
    """Return the row of a configuration with one route, `/r/` at host `h`."""
    route = {
        "name": "r",
        "host": "h",
        "prefix": "/r/",
        "kind": kind,
        "service": "pool",
        "max_attempts": max_attempts,
        "stream_resume": is_resumable,
        "timeout_ms": 2_000,
        "target_latency_ms": 500,
    }
    content = {
        "version": 1,
        "routes": [route],
        "services": [{"name": "pool"}],
        "tenants": [{"name": "atelier", "api_keys": ["k"]}],
    }
    return encode_value(content)


def encode_entry(address):
    """Return the row of a target of the service `pool` that is ready."""
    content = {
        "service": "pool",
        "address": address,
        "state": "ready",
        "zone": "z",
        "slots": 8,
        "born": 1,
        "sequence": 1,
    }
    return encode_value(content)


def make_caller_headers(request_id):
    """Return the headers of a caller's request to the route."""
    return {
        "Host": "h",
        "Api-Key": "k",
        "Attempt-Id": request_id,
        "Deadline-Ms": "2000",
    }


def make_answer(request_id, body):
    """Return the bytes of a target's complete answer."""
    lines = [
        "HTTP/1.1 200 OK",
        f"Attempt-Id: {request_id}",
        "Response-Seal: s",
        f"Content-Length: {len(body)}",
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
