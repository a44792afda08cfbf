"""Requests of callers and the table of accepted request ids."""

import dataclasses
import itertools

from slatechute import errors
from slatechute import identifiers
from slatechute import quarantine
from slatechute.configuration import models

__all__ = ["ID_WINDOW_MS", "Request", "RequestTable"]

ID_WINDOW_MS = 600_000


@dataclasses.dataclass(slots=True, eq=False)
class Request:
    """A request of a caller.

    Attributes:
        id: Request id, sent on to the target.
        service: Service that has to run it.
        method: HTTP method.
        path: Path with query, as received.
        headers: End-to-end headers.
        body: Whole body.
        rule: How the configuration treats it.
        accepted_ms: Arrival at this entry.
        deadline_ms: When the caller gives up, same clock.
        attempt: How often upstream has already sent it again.
    """

    id: str
    service: str
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    rule: models.RequestRule
    accepted_ms: float
    deadline_ms: float
    attempt: int = 0

    @property
    def fingerprint(self) -> str:
        """Digest that is equal for resends of the request."""
        return quarantine.fingerprint(
            self.service, self.method, self.path, self.body
        )


class RequestTable:
    """Ids of requests that must not run twice, for `ID_WINDOW_MS`.

    An id is kept until its prefix has expired; after that the prefix alone is
    reason to refuse it.
    """

    def __init__(self, boot_id: str, size: int):
        self._boot_id = boot_id
        self._size = size
        self._status_by_id: dict[str, int] = {}
        self._expiry_by_id: dict[str, float] = {}
        self._numbers = itertools.count(1)

    def admit(self, text: str, repeatable: bool, now_ms: float) -> str:
        """Return the id under which a request may run.

        Raises:
            errors.RequestError: The id is malformed, or the request must not
                run twice and may already have run.
        """
        if not text:
            prefix = identifiers.issue_prefix(self._boot_id, now_ms)
            return f"{prefix}.e{next(self._numbers)}"
        parsed = identifiers.parse_request_id(text)
        if parsed is None:
            raise errors.RequestError(
                errors.Reason.BAD_REQUEST, errors.Step.ACCEPTED, status=400
            )
        if not repeatable:
            self._check_first_run(text, parsed, now_ms)
            self._expiry_by_id[text] = parsed.issued_ms + ID_WINDOW_MS
        return text

    def _check_first_run(
        self, text: str, parsed: identifiers.RequestId, now_ms: float
    ) -> None:
        if parsed.boot_id != self._boot_id:
            raise _may_have_run(
                errors.Reason.FOREIGN_REQUEST_ID, parsed.boot_id
            )
        if text in self._expiry_by_id:
            raise _may_have_run(
                errors.Reason.DUPLICATE_REQUEST_ID,
                first_status=self.status_of(text),
            )
        if not now_ms - ID_WINDOW_MS < parsed.issued_ms <= now_ms:
            raise _may_have_run(errors.Reason.EXPIRED_REQUEST_ID)
        if len(self._expiry_by_id) >= self._size:
            self._drop_expired(now_ms)
        if len(self._expiry_by_id) >= self._size:
            raise errors.RequestError(
                errors.Reason.REQUEST_TABLE_FULL, errors.Step.ACCEPTED
            )

    def record_status(self, request_id: str, status: int) -> None:
        """Remember the status that a request ended with."""
        if request_id in self._expiry_by_id:
            self._status_by_id[request_id] = status

    def remove(self, request_id: str) -> None:
        """Forget a request that certainly did not run, so it may be resent."""
        self._expiry_by_id.pop(request_id, None)
        self._status_by_id.pop(request_id, None)

    def status_of(self, request_id: str) -> int | None:
        """Return the status of a finished request, None while it runs."""
        return self._status_by_id.get(request_id)

    def _drop_expired(self, now_ms: float) -> None:
        expired = [
            key for key, at_ms in self._expiry_by_id.items() if at_ms <= now_ms
        ]
        for key in expired:
            self.remove(key)


def _may_have_run(
    reason: errors.Reason, peer: str = "", first_status: int | None = None
) -> errors.RequestError:
    return errors.RequestError(
        reason,
        errors.Step.ACCEPTED,
        peer,
        outcome=errors.Outcome.UNKNOWN,
        status=409,
        first_status=first_status,
    )
