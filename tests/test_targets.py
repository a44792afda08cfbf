"""Tests of the state of a target at its dispatcher."""

from slatechute import leases
from slatechute import targets
from slatechute.configuration import instances


def _state(slots: int = 2) -> targets.TargetState:
    target = instances.Target("t", "plans", "127.0.0.1:1", "d", "live")
    state = targets.TargetState(target, slots, cold=False)
    state.limit = float(slots)
    return state


def _lease(state: targets.TargetState, granted_ms: float) -> leases.Lease:
    return leases.Lease(1, state.target, "e", "e", False, granted_ms, 1e9)


def test_short_delays_do_not_make_a_fast_target_suspect():
    """Guards against waits for no reason with service times below 1 ms."""
    state = _state()
    state.add_lease(_lease(state, 0.0))
    assert not state.is_suspect(15.0, median_ms=0.5)
    assert state.is_suspect(25.0, median_ms=0.5)


def test_one_fast_exchange_ends_the_probation():
    """Guards against a long probation after a short slow phase."""
    state = _state()
    for number in range(20):
        state.record_result(
            leases.Result.OK, 80.0, number, 10.0, may_eject=True
        )
    assert state.state == "probation"
    state.record_result(leases.Result.OK, 10.0, 30.0, 10.0, may_eject=True)
    assert state.state == "serving"


def test_shedding_halves_the_limit_and_success_raises_it():
    """Guards against full load on a target that sheds requests."""
    state = _state(slots=8)
    state.record_result(leases.Result.SHED, 0.0, 0.0, 10.0, may_eject=True)
    assert state.limit == 4
    for number in range(8 * 4):
        state.record_result(
            leases.Result.OK, 10.0, number, 10.0, may_eject=True
        )
    assert state.limit == 8
