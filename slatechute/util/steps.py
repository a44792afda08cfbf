"""Steps of loops that must continue after an unexpected error."""

from collections.abc import Callable
import traceback

from slatechute import logs

__all__ = ["log_unexpected_error", "run_step"]


def log_unexpected_error(
    logger: logs.Logger, step: str, error: Exception
) -> None:
    """Log an unexpected error with its location in the code."""
    frames = traceback.extract_tb(error.__traceback__)
    location = f"{frames[-1].filename}:{frames[-1].lineno}" if frames else ""
    logger.error(
        "unexpected_error", step=step, error=repr(error), place=location
    )


def run_step(
    logger: logs.Logger, step: str, action: Callable[[], object]
) -> None:
    """Run one step of a loop and log an error instead of raising it.

    Args:
        logger: Logger of the module that owns the loop.
        step: Name of the step in the log.
        action: Function to run.
    """
    try:
        action()
    except Exception as error:
        log_unexpected_error(logger, step, error)
