"""Exceptions of slatechute.

Errors of requests carry the step and the peer at which they occurred and
whether the request may have run.
"""

import enum

__all__ = [
    "AuthenticationError",
    "ConfigurationError",
    "FrameError",
    "Outcome",
    "PlatformError",
    "Reason",
    "RequestError",
    "SettingsError",
    "SlatechuteError",
    "Step",
]


class Step(enum.StrEnum):
    """Steps of a request, in the order in which it passes them."""

    ADDRESS = "address"
    ACCEPTED = "accepted"
    WAITING = "waiting"
    GRANTED = "granted"
    CONNECTING = "connecting"
    WRITING = "writing"
    WRITTEN = "written"
    READING = "reading"
    DONE = "done"


class Outcome(enum.StrEnum):
    """Whether a request without a response from a target may have run."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Reason(enum.StrEnum):
    """Reason of a refusal or retry, also used as a metric label."""

    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    CALLER_GONE = "caller_gone"
    CONNECT_FAILED = "connect_failed"
    CONNECTION_LOST = "connection_lost"
    CONNECTION_SILENT = "connection_silent"
    DEADLINE = "deadline"
    DUPLICATE_REQUEST_ID = "duplicate_request_id"
    EVACUATED = "evacuated"
    EXPIRED_REQUEST_ID = "expired_request_id"
    FOREIGN_REQUEST_ID = "foreign_request_id"
    LEASE_STALE = "lease_stale"
    MEMORY = "memory"
    NO_PATH = "no_path"
    NO_TARGETS = "no_targets"
    OVERLOAD = "overload"
    QUARANTINED = "quarantined"
    QUEUE_FULL = "queue_full"
    REQUEST_TABLE_FULL = "request_table_full"
    REQUEST_TOO_SLOW = "request_too_slow"
    STARTING = "starting"
    TARGET_ERROR = "target_error"
    TARGET_SHED = "target_shed"
    UNKNOWN_SERVICE = "unknown_service"


class SlatechuteError(Exception):
    """Base class of all errors of slatechute."""


class SettingsError(SlatechuteError):
    """Settings are invalid; the message lists every problem."""


class ConfigurationError(SlatechuteError):
    """A configuration folder is not valid.

    Attributes:
        problems: One line per problem, with file and key.
    """

    def __init__(self, problems: list[str]):
        super().__init__("; ".join(problems))
        self.problems = problems


class PlatformError(SlatechuteError):
    """The platform service did not respond or responded with an error."""


class FrameError(SlatechuteError):
    """A frame from a peer is malformed, oversized or of an unknown type."""


class AuthenticationError(SlatechuteError):
    """A peer did not prove that it knows the fleet key."""


class RequestError(SlatechuteError):
    """A request ended without a response from a target.

    Attributes:
        step: Step at which the request ended.
        peer: Entry or target involved, empty if there was none.
        reason: Reason, also used as a label of the refusal counter.
        outcome: Whether it is certain that the request did not run.
        retry_after_ms: Time after which the caller may retry.
        status: HTTP status for the caller.
        first_status: HTTP status of the first request with the same id, for a
            duplicate. None while that request runs and for all other errors.
    """

    def __init__(
        self,
        reason: Reason,
        step: Step,
        peer: str = "",
        *,
        outcome: Outcome = Outcome.NOT_RUN,
        retry_after_ms: int = 1000,
        status: int = 503,
        first_status: int | None = None,
    ):
        super().__init__(f"{reason} at {step} ({peer or 'no peer'}): {outcome}")
        self.reason = reason
        self.step = step
        self.peer = peer
        self.outcome = outcome
        self.retry_after_ms = retry_after_ms
        self.status = status
        self.first_status = first_status

    def with_earlier_attempts(self, may_have_run: bool) -> "RequestError":
        """Return this error with an outcome that covers earlier attempts.

        Args:
            may_have_run: Whether any earlier attempt may have run.
        """
        if not may_have_run or self.outcome is Outcome.UNKNOWN:
            return self
        return RequestError(
            self.reason,
            self.step,
            self.peer,
            outcome=Outcome.UNKNOWN,
            retry_after_ms=self.retry_after_ms,
            status=self.status,
        )
