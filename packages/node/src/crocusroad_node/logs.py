"""Structured logging, set up once from the settings."""

import logging
import sys
from datetime import UTC, datetime

from crocusroad_wire import encode_json_text

_EXTRA = 'fields'


def configure_logs(
    layout: str,
    level: str,
    instance: str,
    handler: logging.Handler | None = None,
) -> None:
    """Send log records to a handler as JSON lines or as text.

    Without a handler they go to standard error.
    """
    if handler is None:
        handler = logging.StreamHandler(sys.stderr)
    formatter = _JsonFormatter(instance)
    if layout == 'text':
        formatter = _TextFormatter(instance)
    handler.setFormatter(formatter)
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
    # The library's own lines repeat each change of state.
    logging.getLogger('transitions').setLevel(logging.WARNING)


def log_event(logger: logging.Logger, event: str, **fields: object) -> None:
    """Log a change of state with its fields."""
    logger.info(event, extra={_EXTRA: fields})


class _JsonFormatter(logging.Formatter):
    def __init__(self, instance: str) -> None:
        super().__init__()
        self._instance = instance

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as one line."""
        return self._join(self._fields(record))

    def _fields(self, record: logging.LogRecord) -> dict[str, object]:
        fields: dict[str, object] = {
            'time': datetime.fromtimestamp(record.created, UTC).isoformat(),
            'level': record.levelname.lower(),
            'logger': record.name,
            'instance': self._instance,
            'event': record.getMessage(),
        }
        fields |= getattr(record, _EXTRA, {})
        if record.exc_info:
            fields['exception'] = self.formatException(record.exc_info)
        return fields

    def _join(self, fields: dict[str, object]) -> str:
        return encode_json_text(fields)


class _TextFormatter(_JsonFormatter):
    def _join(self, fields: dict[str, object]) -> str:
        return ' '.join(f'{key}={word}' for key, word in fields.items())
