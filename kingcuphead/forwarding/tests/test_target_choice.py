import asyncio
import random
import types
from typing import Any

from kingcuphead.dispatch import Dispatcher, DispatchSettings, PlacementRequest
from kingcuphead.forwarding._target_choice import MAX_CLAIMS, TargetChoice
from kingcuphead.forwarding.tests._harness import OrderPreservingRandom
from kingcuphead.loads import PeerLoads
from kingcuphead.permits import PermitCoordinator, PermitExchange
from kingcuphead.targets import Availability, ColdLimit, Target, TargetDirectory

#: Only the last target is warm; the others come first at equal cost.
TARGETS = tuple(
    Target(f"t{number}", "pool", f"10.0.0.{number}:80", "z", 8, Availability.READY, 1)
    for number in range(MAX_CLAIMS + 4)
)


class ColdView:
    """All targets but the last one are cold."""

    has_cold_limits = True

    def find_cold_limit(self, target):
        return None if target == TARGETS[-1] else ColdLimit(1.0, is_certain=True)

    def is_known_warm(self, incarnation):
        return False


class Context(types.SimpleNamespace):
    """A request that may run on each of the targets."""

    service = "pool"
    tried = ()

    def make_placement_request(self):
        return PlacementRequest("pool")

    def select_eligible(self, targets):
        return tuple(targets)


class TestTargetChoice:
    def test_a_request_is_not_refused_for_many_cold_targets(self):
        """A zone that was taken back has more of them than a request has claims."""

        async def scenario():
            permits = PermitExchange(
                ("10.0.0.1", 1),
                PermitCoordinator(random.Random(1)),
                lambda message, receiver: None,
                lambda message: None,
                ColdView(),
            )
            dispatcher = Dispatcher(
                DispatchSettings("z"), PeerLoads(), OrderPreservingRandom()
            )
            directory = TargetDirectory()
            for target in TARGETS:
                list(directory.put(target))
            context: Any = Context()
            choice = TargetChoice(directory, dispatcher, permits)
            placement = await choice.place(context)
            assert placement is not None
            assert placement.target == TARGETS[-1]

        asyncio.run(scenario())
