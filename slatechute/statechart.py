"""Interpreter of the state charts in `charts/*.json`.

A chart lists its states with their attributes and the next state by event.
The `transitions` library is not used: it takes about 11 us per event and binds
trigger methods to each model, which is too slow for every request. A chart
lookup takes two dictionary accesses.
"""

from importlib import resources

import pydantic

__all__ = ["Chart", "State", "load"]


class State(pydantic.BaseModel):
    """One state of a chart.

    Attributes:
        on: Next state by event. Other events do not change the state.
        attributes: Properties of the state that the code reads.
    """

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    on: dict[str, str] = {}
    attributes: dict[str, str | int | bool] = {}


class Chart(pydantic.BaseModel):
    """A state chart."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    initial: str
    events: list[str]
    states: dict[str, State]

    @pydantic.model_validator(mode="after")
    def _check_names(self) -> "Chart":
        if self.initial not in self.states:
            raise ValueError(f"unknown initial state {self.initial}")
        for name, state in self.states.items():
            for event, next_state in state.on.items():
                if event not in self.events or next_state not in self.states:
                    raise ValueError(
                        f"{name}: invalid rule {event}: {next_state}"
                    )
        return self

    def next(self, state: str, event: str) -> str:
        """Return the state that follows an event.

        Raises:
            KeyError: The state is not in the chart.
        """
        return self.states[state].on.get(event, state)

    def attribute(self, state: str, name: str) -> str | int | bool | None:
        """Return an attribute of a state, or None if it has none."""
        return self.states[state].attributes.get(name)


def load(name: str) -> Chart:
    """Load a chart from the `charts` folder of the package.

    >>> load("request").initial
    'accepted'
    """
    path = resources.files("slatechute").joinpath("charts", f"{name}.json")
    return Chart.model_validate_json(path.read_text())
