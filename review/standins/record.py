"""Record of what was sent, answered and run."""

import collections
import pathlib
import time


class Record:
    """Events in the order of their times, written to a file at the end.

    Attributes:
        runs_by_id: Ids of the instances that ran each request.
        answer_by_id: Status of the answer to each request, 0 without one.
        sent_s_by_id: Time at which each request was sent.
    """

    def __init__(self, path: pathlib.Path):
        self.runs_by_id: dict[str, list[str]] = collections.defaultdict(list)
        self.answer_by_id: dict[str, int] = {}
        self.sent_s_by_id: dict[str, float] = {}
        self._path = path
        self._started_s = time.monotonic()
        self._lines: list[str] = []

    @property
    def elapsed_s(self) -> float:
        """Time since the start."""
        return time.monotonic() - self._started_s

    def write(self, event: str, *fields: object) -> None:
        """Add an event."""
        if event == "run":
            self.runs_by_id[str(fields[1])].append(str(fields[0]))
        elif event == "answered":
            self.answer_by_id[str(fields[0])] = int(fields[1])
        elif event == "sent":
            self.sent_s_by_id[str(fields[0])] = self.elapsed_s
        text = " ".join(str(field) for field in fields)
        self._lines.append(f"{self.elapsed_s:9.4f} {event} {text}")

    def save(self) -> None:
        """Write the file."""
        self._path.write_text("\n".join([*self._lines, ""]), encoding="utf-8")
