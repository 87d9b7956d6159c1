import asyncio
import dataclasses

import pytest

from kingcuphead.admission.tests._load import Profile, Service, play
from kingcuphead.verdict import Reason

#: One target that runs one request at a time.
SINGLE = Profile(targets=1, slots=1, work=1.0, objective=0.3, timeout=2.0)


def run(scenario, profile=SINGLE):
    async def main():
        service = Service(profile)
        return await scenario(service)

    return play(main())


class TestFailures:
    def test_room_that_never_comes(self):
        """Nothing was measured, so only the deadline itself ends the wait."""

        async def scenario(service):
            tasks = [asyncio.create_task(service.send()) for _ in range(3)]
            await asyncio.wait(tasks, timeout=5)
            return [task.result() for task in tasks if task.done()]

        (refused, other) = run(scenario, dataclasses.replace(SINGLE, work=60.0))
        for outcome in (refused, other):
            assert outcome.refused.reason is Reason.DEADLINE
            assert outcome.seconds < SINGLE.timeout

    def test_requests_go_on_when_all_targets_are_gone(self):
        """The caller learns at once that there is no target, as without a queue."""

        async def scenario(service):
            first = asyncio.create_task(service.send())
            await asyncio.sleep(0.01)
            request = service.make_request(service.outcomes[0], "", 0, None)
            waiting = asyncio.create_task(service.gate.enter(request, service))
            await asyncio.sleep(0.01)
            assert not waiting.done()
            service.targets = ()
            service.gate.wake()
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            assert waiting.done()
            await first

        run(scenario)

    def test_a_caller_that_leaves_gives_up_its_place(self):
        async def scenario(service):
            first, second, third = (
                asyncio.create_task(service.send()) for _ in range(3)
            )
            await asyncio.sleep(0.01)
            assert dict(service.gate.count_waiting()) == {"pool": 2}
            second.cancel()
            await asyncio.sleep(0)
            assert dict(service.gate.count_waiting()) == {"pool": 1}
            await asyncio.gather(first, third)
            return service.outcomes[2].seconds

        assert run(scenario) < 2.1

    def test_a_caller_that_leaves_on_admission_holds_nobody_back(self):
        """Its request is admitted but never counted at a target."""

        async def scenario(service):
            first, second, third = (
                asyncio.create_task(service.send()) for _ in range(3)
            )
            await first
            second.cancel()
            await asyncio.wait([third], timeout=1.1)
            return third.done()

        assert run(scenario)

    def test_shutdown_refuses_what_waits(self):
        async def scenario(service):
            tasks = [asyncio.create_task(service.send()) for _ in range(3)]
            await asyncio.sleep(0.01)
            service.gate.close()
            outcomes = await asyncio.gather(*tasks)
            assert outcomes[0].is_served
            for outcome in outcomes[1:]:
                assert outcome.refused.reason is Reason.SHUTTING_DOWN
                assert outcome.seconds <= 0.05
            return await service.send()

        assert run(scenario).is_served


class TestBounds:
    @pytest.mark.parametrize(("daemons", "limit"), [(1, 64), (2, 32), (100, 16)])
    def test_each_daemon_queues_its_part(self, daemons, limit):
        """4 requests for each slot of the fleet, 16 at least."""
        profile = Profile(targets=4, slots=4, work=60.0, daemons=daemons, objective=30)

        async def scenario(service):
            tasks = [asyncio.create_task(service.send()) for _ in range(16 + 100)]
            await asyncio.sleep(0.01)
            waiting = dict(service.gate.count_waiting())["pool"]
            for task in tasks:
                task.cancel()
            return waiting

        assert run(scenario, profile) == limit

    def test_the_least_urgent_are_refused_first(self):
        profile = Profile(targets=1, slots=1, work=60.0, objective=30)

        async def scenario(service):
            tasks = [asyncio.create_task(service.send(rank=2)) for _ in range(17)]
            await asyncio.sleep(0.01)
            tasks += [asyncio.create_task(service.send(rank=1)) for _ in range(4)]
            await asyncio.sleep(0.01)
            refused = [task.result().rank for task in tasks if task.done()]
            for task in tasks:
                task.cancel()
            return refused

        assert run(scenario, profile) == [2, 2, 2, 2]

    def test_bodies_have_a_bound_of_their_own(self):
        async def scenario(service):
            service.gate.bounds.body_bytes = 1_000
            tasks = [
                asyncio.create_task(service.send(body_bytes=400)) for _ in range(5)
            ]
            await asyncio.sleep(0.01)
            refused = [task.result().refused for task in tasks if task.done()]
            await asyncio.gather(*tasks)
            return [each.reason for each in refused]

        assert run(scenario) == [Reason.QUEUE_FULL, Reason.QUEUE_FULL]


class TestReturn:
    """A refused request that comes back is told from a new one."""

    def play_return(self, delay):
        profile = Profile(targets=1, slots=1, work=0.1, objective=5.0, timeout=60.0)

        async def scenario(service):
            tasks = [asyncio.create_task(service.send()) for _ in range(17)]
            await asyncio.sleep(0.001)
            refused = await service.send(fingerprint="r")
            await asyncio.sleep(refused.refused.retry_after + delay)
            returned = await service.send(fingerprint="r")
            await asyncio.gather(*tasks)
            return returned

        return run(scenario, profile)

    def test_at_its_time_it_goes_to_the_head_of_its_rank(self):
        returned = self.play_return(0.0)
        assert returned.is_served
        assert returned.waited <= 0.11

    def test_before_its_time_it_is_like_a_new_one(self):
        returned = self.play_return(-0.04)
        assert not returned.is_served or returned.waited > 0.5
