"""Which request a response of a target answers.

A target may write an earlier response once more in place of the next one, also
a refusal. Responses name their request; nothing else tells them apart, unless
one is the first of its connection.
"""

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
        self, request_id: str, target_id: str, *, repeatable: bool
    ) -> connections.Attribute:
        """Return what attributes the responses to a request.

        Args:
            request_id: Id of the request, empty if it has none.
            target_id: Id of the target that gets it.
            repeatable: Whether another target may get the request at an
                uncertain response. If not, its own response is awaited.
        """
        if repeatable:
            return functools.partial(self.attribute, request_id, target_id)
        return functools.partial(self._attribute_once, request_id, target_id)

    def _attribute_once(
        self,
        request_id: str,
        target_id: str,
        response: connections.TargetResponse,
    ) -> connections.Attribution:
        attribution = self.attribute(request_id, target_id, response)
        if attribution is connections.Attribution.UNCERTAIN:
            return connections.Attribution.OTHER
        return attribution

    def attribute(
        self,
        request_id: str,
        target_id: str,
        response: connections.TargetResponse,
    ) -> connections.Attribution:
        """Return which request a response answers."""
        answered_id = self._dialect.request_id(response.header_by_name)
        if answered_id == request_id and request_id:
            return connections.Attribution.OWN
        if not answered_id and response.is_first:
            return connections.Attribution.UNNAMED
        self._counters.count_misplaced_response()
        _LOG.notice(
            "response_misplaced",
            target=target_id,
            request_id=request_id,
            answered_id=answered_id[:_MAX_LOGGED_ID],
            status=response.status,
        )
        if answered_id:
            return connections.Attribution.OTHER
        return connections.Attribution.UNCERTAIN
