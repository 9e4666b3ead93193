"""Structured logging as JSON lines or text."""

import logging
import sys
from datetime import UTC, datetime

from crocusroad_wire import encode_json_text

_FIELDS_ATTRIBUTE = 'fields'


def configure_logs(
    layout: str,
    level: str,
    instance: str,
    handler: logging.Handler | None = None,
) -> None:
    """Configure the root logger to write JSON lines or text.

    `layout` is `json` or `text`. Without a handler, records go to standard
    error.
    """
    if handler is None:
        handler = logging.StreamHandler(sys.stderr)
    formatter = _JsonFormatter(instance)
    if layout == 'text':
        formatter = _TextFormatter(instance)
    handler.setFormatter(formatter)
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
    # The library also logs each state change, which would be a duplicate.
    logging.getLogger('transitions').setLevel(logging.WARNING)


def log_event(logger: logging.Logger, event: str, **fields: object) -> None:
    """Log an event at level INFO with structured fields."""
    logger.info(event, extra={_FIELDS_ATTRIBUTE: fields})


def log_exception(logger: logging.Logger, event: str, **fields: object) -> None:
    """Log an event at level ERROR with the exception that is handled now."""
    logger.exception(event, extra={_FIELDS_ATTRIBUTE: fields})


class _JsonFormatter(logging.Formatter):
    def __init__(self, instance: str) -> None:
        super().__init__()
        self._instance = instance

    def format(self, record: logging.LogRecord) -> str:
        """Format the record as one line."""
        return self._render(self._fields(record))

    def _fields(self, record: logging.LogRecord) -> dict[str, object]:
        fields: dict[str, object] = {
            'time': datetime.fromtimestamp(record.created, UTC).isoformat(),
            'level': record.levelname.lower(),
            'logger': record.name,
            'instance': self._instance,
            'event': record.getMessage(),
        }
        fields |= getattr(record, _FIELDS_ATTRIBUTE, {})
        if record.exc_info:
            fields['exception'] = self.formatException(record.exc_info)
        return fields

    def _render(self, fields: dict[str, object]) -> str:
        return encode_json_text(fields)


class _TextFormatter(_JsonFormatter):
    def _render(self, fields: dict[str, object]) -> str:
        return ' '.join(f'{key}={value}' for key, value in fields.items())
