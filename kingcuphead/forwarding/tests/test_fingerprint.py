import asyncio

import pytest

from kingcuphead.forwarding._fingerprint import fingerprint_request
from kingcuphead.forwarding.tests._harness import IDEMPOTENT, make_request


async def fingerprint(payer="atelier", **changes):
    return fingerprint_request(make_request(IDEMPOTENT, **changes), payer)


class TestFingerprint:
    @pytest.mark.parametrize(
        "changes", [{"request_id": "r2"}, {"timeout": 1.0}, {"resume_after": 3}]
    )
    def test_all_tries_of_a_request_share_it(self, changes):
        assert asyncio.run(fingerprint(**changes)) == asyncio.run(fingerprint())

    @pytest.mark.parametrize(
        "changes",
        [
            {"payer": "studio"},
            {"method": "PUT"},
            {"host": "h2"},
            {"uri": "/idempotent/x?y=2"},
            {"body": b"other"},
        ],
    )
    def test_other_requests_have_another(self, changes):
        assert asyncio.run(fingerprint(**changes)) != asyncio.run(fingerprint())
