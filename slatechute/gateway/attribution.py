"""Which request a response of a target answers.

A target may write an earlier response once more in place of the next one, also
a refusal. Responses name their request; nothing else tells them apart.
"""

from collections.abc import Callable
import functools

from slatechute import logs
from slatechute import metrics
from slatechute.gateway import connections
from slatechute.gateway import dialects

__all__ = ["ResponseAttributor"]

_LOG = logs.get_logger(__name__)
_MAX_LOGGED_ID = 100


class ResponseAttributor:
    """Attributes responses of targets and reports the misplaced ones.

    Args:
        dialect: Formats of targets.
        counters: Metrics of the entry.
    """

    def __init__(self, dialect: dialects.Dialect, counters: metrics.Metrics):
        self._dialect = dialect
        self._counters = counters

    def of_request(
        self, request_id: str, target_id: str
    ) -> Callable[[connections.TargetResponse], connections.Attribution]:
        """Return what attributes the responses to a request.

        Args:
            request_id: Id of the request, empty if it has none.
            target_id: Id of the target that gets it.
        """
        return functools.partial(self._attribute, request_id, target_id)

    def _attribute(
        self,
        request_id: str,
        target_id: str,
        response: connections.TargetResponse,
    ) -> connections.Attribution:
        answered_id = self._dialect.request_id(response.header_by_name)
        return self.attribute(
            request_id, target_id, answered_id, response.status
        )

    def attribute(
        self, request_id: str, target_id: str, answered_id: str, status: int
    ) -> connections.Attribution:
        """Return which request a response answers.

        Args:
            request_id: Id of the request that was sent, empty if it has none.
            target_id: Id of the target.
            answered_id: Id in the response, empty if it has none.
            status: Status of the response.
        """
        if answered_id == request_id and request_id:
            return connections.Attribution.OWN
        if not answered_id:
            return connections.Attribution.UNNAMED
        self._counters.count_misplaced_response()
        _LOG.notice(
            "response_misplaced",
            target=target_id,
            request_id=request_id,
            answered_id=answered_id[:_MAX_LOGGED_ID],
            status=status,
        )
        return connections.Attribution.OTHER
