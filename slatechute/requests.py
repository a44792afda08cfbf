"""Requests of callers and the table of their request ids."""

import dataclasses
import itertools

from slatechute import errors
from slatechute import identifiers
from slatechute import quarantine
from slatechute.configuration import models

__all__ = ["REQUEST_ID_LIFETIME_MS", "Request", "RequestTable"]

REQUEST_ID_LIFETIME_MS = 600_000


@dataclasses.dataclass(slots=True, eq=False)
class Request:
    """A request of a caller.

    Attributes:
        id: Request id, forwarded to the target.
        service: Service that runs the request.
        method: HTTP method.
        path: Path with query, as received.
        headers: End-to-end headers.
        body: Complete body.
        rule: Rule of the configuration that applies to it.
        accepted_ms: Arrival at this entry.
        deadline_ms: Deadline of the caller, by the same clock.
        attempt: How often upstream hops have already retried it.
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
        """Digest of the request, equal for all its resends."""
        return quarantine.fingerprint(
            self.service, self.method, self.path, self.body
        )


class RequestTable:
    """Stores the ids of requests that must not run twice.

    An id is stored until its prefix expires, `REQUEST_ID_LIFETIME_MS` after its
    issue. From then on the id is refused because of its prefix.
    """

    def __init__(self, boot_id: str, size: int):
        self._boot_id = boot_id
        self._size = size
        self._status_by_id: dict[str, int] = {}
        self._expiry_by_id: dict[str, float] = {}
        self._numbers = itertools.count(1)

    def admit(self, supplied_id: str, repeatable: bool, now_ms: float) -> str:
        """Register a request and return its id.

        Args:
            supplied_id: Id from the caller, empty to issue one.
            repeatable: Whether the request may run more than once.
            now_ms: Current time.

        Raises:
            errors.RequestError: The id is malformed, or the request must not
                run twice and may already have run.
        """
        if not supplied_id:
            prefix = identifiers.issue_prefix(self._boot_id, now_ms)
            return f"{prefix}.e{next(self._numbers)}"
        parsed = identifiers.parse_request_id(supplied_id)
        if parsed is None:
            raise errors.RequestError(
                errors.Reason.BAD_REQUEST, errors.Step.ACCEPTED, status=400
            )
        if not repeatable:
            self._check_first_run(supplied_id, parsed, now_ms)
            self._expiry_by_id[supplied_id] = (
                parsed.issued_ms + REQUEST_ID_LIFETIME_MS
            )
        return supplied_id

    def _check_first_run(
        self, supplied_id: str, parsed: identifiers.RequestId, now_ms: float
    ) -> None:
        if parsed.boot_id != self._boot_id:
            raise _possible_rerun_error(
                errors.Reason.FOREIGN_REQUEST_ID, parsed.boot_id
            )
        if supplied_id in self._expiry_by_id:
            raise _possible_rerun_error(
                errors.Reason.DUPLICATE_REQUEST_ID,
                first_status=self.status_of(supplied_id),
            )
        if not now_ms - REQUEST_ID_LIFETIME_MS < parsed.issued_ms <= now_ms:
            raise _possible_rerun_error(errors.Reason.EXPIRED_REQUEST_ID)
        if len(self._expiry_by_id) >= self._size:
            self._drop_expired(now_ms)
        if len(self._expiry_by_id) >= self._size:
            raise errors.RequestError(
                errors.Reason.REQUEST_TABLE_FULL, errors.Step.ACCEPTED
            )

    def may_be_resend(self, supplied_id: str, now_ms: float) -> bool:
        """Return whether a request with this id may have run.

        Args:
            supplied_id: Id from the caller, empty if there is none.
            now_ms: Current time.
        """
        parsed = identifiers.parse_request_id(supplied_id)
        if parsed is None:
            return False
        return (
            supplied_id in self._expiry_by_id
            or parsed.boot_id != self._boot_id
            or parsed.issued_ms + REQUEST_ID_LIFETIME_MS <= now_ms
        )

    def record_status(self, request_id: str, status: int) -> None:
        """Store the status of a finished request."""
        if request_id in self._expiry_by_id:
            self._status_by_id[request_id] = status

    def remove(self, request_id: str) -> None:
        """Remove a request that certainly did not run; it may be resent."""
        self._expiry_by_id.pop(request_id, None)
        self._status_by_id.pop(request_id, None)

    def status_of(self, request_id: str) -> int | None:
        """Return the status of a finished request, or None while it runs."""
        return self._status_by_id.get(request_id)

    def _drop_expired(self, now_ms: float) -> None:
        expired = [
            key for key, at_ms in self._expiry_by_id.items() if at_ms <= now_ms
        ]
        for key in expired:
            self.remove(key)


def _possible_rerun_error(
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
