import socket

from kingcuphead.forwarding.tests._harness import STREAM, make_request, make_route, run

#: Seconds for which a sound target may fall silent and go on.
SILENCE = 1.3


class TestSilentTargets:
    def test_a_stream_goes_on_at_a_target_that_was_silent_for_a_second(self):
        async def scenario(harness):
            head, *events = harness.first.stream([1, 2])
            harness.first.script = [[head, events[0], SILENCE, *events[1:]]]
            caller, _ = await harness.serve(make_request(STREAM))
            assert caller.end == "finished"
            assert not harness.second.received

        run([make_route(STREAM, resumable=True, timeout=5.0)], scenario)

    def test_the_kernel_keeps_a_connection_that_was_silent_for_a_second(self):
        async def scenario(harness):
            address = (await harness.first.start()).address
            lease = await harness.pool.acquire(address, 1.0)
            sock = lease.connection.stream.socket
            options = [
                sock.getsockopt(socket.IPPROTO_TCP, option)
                for option in (
                    socket.TCP_USER_TIMEOUT,
                    socket.TCP_KEEPIDLE,
                    socket.TCP_KEEPINTVL,
                    socket.TCP_KEEPCNT,
                )
            ]
            lease.connection.close()
            user_timeout_ms, idle, interval, probes = options
            assert user_timeout_ms / 1000 > SILENCE
            assert idle + interval * probes > SILENCE

        run([make_route(STREAM)], scenario)
