from kingcuphead.capacity import CallerIntake

#: Descriptors of callers and of other sockets.
CALLERS, OTHERS = tuple(range(100, 200)), (1, 2, 3)


def make_intake():
    intake = CallerIntake()
    for descriptor in CALLERS:
        intake.add(descriptor)
    return intake


class TestCallerIntake:
    def test_one_turn_serves_few_callers_and_all_others(self):
        """Guards against replies of the store that wait behind all callers."""
        postponed = make_intake().find_postponed(CALLERS + OTHERS, 0.0)
        assert len(CALLERS) - len(postponed) <= 16
        assert not postponed & set(OTHERS)

    def test_turns_are_kept_short_whatever_a_request_costs(self):
        """Guards against long turns on a small share of a core."""
        intake = make_intake()
        for _ in range(10):
            served = len(CALLERS) - len(intake.find_postponed(CALLERS, 0.0))
            intake.record_turn(0.02 * served)
        assert 1 <= served <= 3

    def test_callers_are_served_even_if_turns_are_long_without_them(self):
        """Guards against callers that never get an answer beside running streams."""
        intake = make_intake()
        intake.record_turn(10.0)
        assert len(intake.find_postponed(CALLERS, 0.0)) == len(CALLERS) - 1

    def test_those_that_have_waited_longest_are_next(self):
        """Guards against callers that others overtake turn after turn."""
        intake = make_intake()
        served = set()
        for turn in range(7):
            postponed = intake.find_postponed(CALLERS, float(turn))
            served |= set(CALLERS) - postponed
        assert served == set(CALLERS)

    def test_all_are_served_again_after_short_turns(self):
        """Guards against a bound that outlasts the overload."""
        intake = make_intake()
        intake.record_turn(10.0)
        for turn in range(20):
            intake.record_turn(0.001)
            postponed = intake.find_postponed(CALLERS[:10], float(turn))
        assert not postponed

    def test_a_closed_socket_leaves_no_mark_on_its_descriptor(self):
        """Guards against a connection to the store that waits like a caller's."""
        intake = make_intake()
        intake.find_postponed(CALLERS, 0.0)
        intake.remove(CALLERS[-1])
        assert CALLERS[-1] not in intake.find_postponed(CALLERS, 1.0)

    def test_sockets_that_wait_are_not_read(self):
        """Guards against requests that are read without an event after an answer."""
        intake = make_intake()
        assert intake.may_read(CALLERS[0])
        postponed = intake.find_postponed(CALLERS, 0.0)
        assert not any(map(intake.may_read, postponed))
        assert all(map(intake.may_read, set(CALLERS) - postponed))
        intake.find_postponed((), 1.0)
        assert not intake.may_read(CALLERS[0])

    def test_requests_are_refused_only_while_a_backlog_lasts(self):
        """Guards against refusals in short bursts, and against those that go on."""
        intake = make_intake()
        intake.find_postponed(CALLERS, 0.0)
        assert all(intake.admit(0.2) for _ in CALLERS)
        intake.find_postponed(CALLERS, 0.3)
        intake.record_turn(0.2)
        assert not any(intake.admit(0.3) for _ in CALLERS)
        intake.find_postponed(CALLERS[:1], 0.4)
        assert all(intake.admit(0.4) for _ in CALLERS)

    def test_one_request_is_served_after_each_short_turn(self):
        """Guards against an overloaded daemon that serves nobody."""
        intake = make_intake()
        intake.find_postponed(CALLERS, 0.0)
        for turn in range(1, 5):
            intake.record_turn(0.03)
            intake.find_postponed(CALLERS, float(turn))
            assert [intake.admit(float(turn)) for _ in range(3)] == [True, False, False]
