import pytest

from kingcuphead.forwarding.tests._harness import make_request, make_route, run
from kingcuphead.routing import RequestKind
from kingcuphead.targets import ColdStart


class TestColdAnswers:
    """Guards against requests to a target that said that it is slow now."""

    @pytest.mark.parametrize(
        ("limit", "headers", "is_cold"),
        [
            (2.0, ["Cold-Ms: 5000"], True),
            (2.0, [], False),
            (2.0, ["Cold-Ms: soon"], False),
            (None, ["Cold-Ms: 5000"], False),
        ],
    )
    def test_the_header_of_an_answer_is_applied(self, limit, headers, is_cold):
        async def scenario(harness):
            harness.directory.apply_cold_starts({"pool": ColdStart(0.0, limit)})
            harness.first.script = [harness.first.answer("200 OK", b"whole", *headers)]
            _, refusal = await harness.serve(make_request(RequestKind.IDEMPOTENT))
            assert refusal is None
            (target,) = [
                each
                for each in harness.directory.list_usable("pool")
                if each.name == "t1"
            ]
            assert harness.directory.is_cold(target) is is_cold

        run([make_route(RequestKind.IDEMPOTENT)], scenario)
