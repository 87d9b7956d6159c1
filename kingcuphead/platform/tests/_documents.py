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


def encode_large_configuration(version, routes):
    """Return a version of a configuration with many routes as JSON.

    It differs from any other version in two routes.
    """
    content = {
        "version": version,
        "routes": [_make_route(each, version) for each in range(routes)],
        "services": [{"name": f"pool-{each}"} for each in range(7)],
        "tenants": [
            {"name": f"org-{each}", "api_keys": [f"key-{each}"], "prepaid": 1_000_000}
            for each in range(routes // 5)
        ],
    }
    return json.dumps(content).encode()


def _make_route(number, version):
    part = "new" if number == version else number
    return {
        "name": f"route-{number}",
        "host": f"host-{number % 40}.example",
        "prefix": f"/v1/part-{part}/",
        "kind": "streaming" if number % 2 else "safe",
        "timeout_ms": 12_700,
        "target_latency_ms": 845,
        "priority": number % 10,
        "traffic_split": [
            {"service": f"pool-{number % 7}", "weight": 0.9},
            {"service": f"pool-{number % 5}", "weight": 0.1},
        ],
        "max_attempts": 3,
    }


def encode_entry(address, version, slots=8):
    """Return the row of a target of the service `pool` that is ready."""
    content = {
        "service": "pool",
        "address": address,
        "state": "ready",
        "zone": "z",
        "slots": slots,
        "born": 1,
        "sequence": 1,
        "version": version,
    }
    return encode_value(content)


def make_caller_headers(request_id, resumed_id="", last_event_id=0, parts=()):
    """Return the headers of a caller's request to the route.

    With an id of an earlier try, it takes up the stream that the try began. `parts` are
    the names of the parts of its prompt.
    """
    headers = {
        "Host": "h",
        "Api-Key": "k",
        "Attempt-Id": request_id,
        "Deadline-Ms": "2000",
    }
    if resumed_id:
        headers |= {"Resumes": resumed_id, "Last-Event-Id": str(last_event_id)}
    if parts:
        prompt = ",".join(f"{part}:100" for part in parts)
        headers |= {"Token-Counts": f"{100 * len(parts)},50", "Prompt-Prefix": prompt}
    return headers


def parse_headers(head):
    """Return the headers of a request or an answer by their names in lower case."""
    lines = head.decode().split("\r\n")[1:]
    return dict(line.lower().split(": ", 1) for line in lines if line)


def parse_resumption(headers):
    """Return the id of the last event that the caller has; 0 for none."""
    return int(headers.get("last-event-id", 0))


def parse_parts(headers):
    """Return the names of the parts of a prompt."""
    entries = headers.get("prompt-prefix", "").split(",")
    return [entry.partition(":")[0] for entry in entries]


def make_answer(request_id, body, status="200 OK", lines=()):
    """Return the bytes of a target's complete answer, with more lines in its head."""
    head = [
        f"HTTP/1.1 {status}",
        f"Attempt-Id: {request_id}",
        "Response-Seal: s",
        f"Content-Length: {len(body)}",
        *lines,
    ]
    return "\r\n".join(head).encode() + b"\r\n\r\n" + body


def make_head(status, lines):
    """Return the bytes of an answer without a body that has just some headers."""
    head = [f"HTTP/1.1 {status}", *lines, "Content-Length: 0", "", ""]
    return "\r\n".join(head).encode()


def make_unframed_head(request_id):
    """Return the head of an answer that ends with its connection."""
    lines = ["HTTP/1.1 200 OK", f"Attempt-Id: {request_id}", "Response-Seal: s"]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def make_stream_head(request_id):
    """Return the status and the headers of a target's stream."""
    lines = [
        "HTTP/1.1 200 OK",
        f"Attempt-Id: {request_id}",
        "Response-Seal: s",
        "Content-Type: text/event-stream",
        "Transfer-Encoding: chunked",
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def make_event(event_id, data):
    """Return the chunk of one event."""
    event = f"id: {event_id}\ndata: {data}\n\n".encode()
    return f"{len(event):x}\r\n".encode() + event + b"\r\n"
