import dataclasses

import pytest

from kingcuphead.records import (
    Budget,
    Model,
    Organisation,
    Service,
    ServiceKind,
    Target,
    WorkClass,
    build_configuration,
    check_configuration,
    list_records,
)

ORGANISATION = Organisation("o", ("d1",), "b", ("m",), ("plain",), ("c",))
TARGET = Target("t", "engines", "10.0.0.1:80", "z", ("m",))
RECORDS = (
    ORGANISATION,
    Budget("b"),
    WorkClass("c", 0, 5.0),
    Model("m", ("1",), 100),
    Service("engines", ServiceKind.ENGINE),
    Service("plain", ServiceKind.PLAIN),
    TARGET,
)


class TestConsistency:
    def test_consistent_configuration_has_no_faults(self):
        configuration = build_configuration(1, RECORDS)
        assert check_configuration(configuration) == ()
        assert set(list_records(configuration)) == set(RECORDS)

    @pytest.mark.parametrize(
        ("record", "problem"),
        [
            (dataclasses.replace(ORGANISATION, budget="x"), "budget 'x'"),
            (dataclasses.replace(ORGANISATION, models=("x",)), "model 'x'"),
            (dataclasses.replace(ORGANISATION, services=("x",)), "service 'x'"),
            (dataclasses.replace(ORGANISATION, classes=("x",)), "class 'x'"),
            (dataclasses.replace(ORGANISATION, name="p"), "shares key d1"),
            (dataclasses.replace(TARGET, service="x"), "service 'x'"),
            (dataclasses.replace(TARGET, service="plain"), "serves no models"),
            (dataclasses.replace(TARGET, models=("x",)), "model 'x'"),
        ],
    )
    def test_fault_message_names_the_problem(self, record, problem):
        (fault,) = check_configuration(build_configuration(1, (*RECORDS, record)))
        assert problem in fault.message
