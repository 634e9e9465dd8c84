"""Parses and validates records: turns JSON with comments into typed records."""

import json
from collections.abc import Mapping
from typing import Any

import jsonc
from marshmallow import RAISE, Schema, ValidationError, fields, post_load, validate
from result import Err, Ok, Result

from berylstair.errors import Problem
from berylstair.ids import Endpoint, parse_endpoint
from berylstair.record import (
    BackendServer,
    BackendState,
    Contract,
    ContractKind,
    Instance,
    InstancesRecord,
    Operation,
    Record,
    RecordKind,
    RecordVersion,
    ServiceRecord,
    WorkClass,
)

__all__ = ['KNOWN_SCHEMAS', 'EndpointField', 'flatten_errors', 'load_text', 'parse_record']

KNOWN_SCHEMAS = (1, 2)

_DEFAULT_FLOW_IDLE_S = 120.0
_DEFAULT_DEADLINE_MS = 4000
_DEFAULT_ATTEMPTS = 2
_DEFAULT_QUARANTINE_S = 90000.0
_IDEMPOTENT_METHODS = frozenset(('GET', 'PUT', 'DELETE', 'FETCH', 'iPATCH'))
_METHODS = ('GET', 'POST', 'PUT', 'DELETE', 'FETCH', 'PATCH', 'iPATCH', '*')

_POSITIVE_VALIDATOR = validate.Range(min=0, min_inclusive=False)
_NAME_VALIDATOR = validate.Regexp(
    '^[a-z0-9][a-z0-9-]{0,62}$', error='use a-z, 0-9 and -, at most 63'
)


class EndpointField(fields.Field[Endpoint]):
    """An ``ip:port`` string."""

    def _deserialize(self, value: Any, attr: Any, data: Any, **kwargs: Any) -> Endpoint:
        try:
            return parse_endpoint(value)
        except (ValueError, AttributeError) as error:
            raise ValidationError(f'found {value!r}, use IP:PORT ({error})') from error


class _OperationSchema(Schema):
    """Rule for one method and path prefix; schema 2 only."""

    method = fields.String(required=True, validate=validate.OneOf(_METHODS))
    path = fields.String(load_default='/')
    idempotent = fields.Boolean(load_default=None, allow_none=True)
    work = fields.Enum(WorkClass, by_value=True, load_default=WorkClass.SHORT)
    deadline_ms = fields.Integer(load_default=None, validate=validate.Range(1, 600_000))
    attempts = fields.Integer(load_default=_DEFAULT_ATTEMPTS, validate=validate.Range(1, 5))


class _ContractSchema(Schema):
    """Contract of a service; schema 2 only."""

    kind = fields.Enum(ContractKind, by_value=True, required=True)
    flow_idle_s = fields.Float(load_default=_DEFAULT_FLOW_IDLE_S, validate=_POSITIVE_VALIDATOR)
    deadline_ms = fields.Integer(
        load_default=_DEFAULT_DEADLINE_MS,
        validate=validate.Range(1, 600_000),
    )
    operations = fields.List(fields.Nested(_OperationSchema), load_default=list)

    @post_load
    def _build(self, loaded: dict[str, Any], **kwargs: Any) -> Contract:
        operations = tuple(
            _build_operation(operation, loaded['deadline_ms']) for operation in loaded['operations']
        )
        return Contract(
            loaded['kind'],
            loaded['flow_idle_s'],
            loaded['deadline_ms'],
            operations,
        )


class _BackendSchemaV2(Schema):
    """Backend server of schema 2."""

    id = fields.String(required=True, validate=_NAME_VALIDATOR)
    zone = fields.String(required=True, validate=_NAME_VALIDATOR)
    address = EndpointField(required=True)
    slots = fields.Integer(required=True, validate=validate.Range(1, 10_000))
    connections = fields.Integer(load_default=2000, validate=validate.Range(1, 1_000_000))
    weight = fields.Float(load_default=1.0, validate=_POSITIVE_VALIDATOR)
    state = fields.Enum(BackendState, by_value=True, load_default=BackendState.ACTIVE)

    @post_load
    def _build(self, loaded: dict[str, Any], **kwargs: Any) -> BackendServer:
        return BackendServer(**loaded)


class _BackendSchemaV1(Schema):
    """Backend server of schema 1: ``draining`` in place of ``state``."""

    id = fields.String(required=True, validate=_NAME_VALIDATOR)
    zone = fields.String(required=True, validate=_NAME_VALIDATOR)
    address = EndpointField(required=True)
    slots = fields.Integer(required=True, validate=validate.Range(1, 10_000))
    draining = fields.Boolean(load_default=False)

    @post_load
    def _build(self, loaded: dict[str, Any], **kwargs: Any) -> BackendServer:
        draining = loaded.pop('draining')
        state = BackendState.LEAVING if draining else BackendState.ACTIVE
        return BackendServer(connections=2000, weight=1.0, state=state, **loaded)


class _RecordSchema(Schema):
    """Keys that every record has."""

    schema = fields.Integer(required=True)
    kind = fields.Enum(RecordKind, by_value=True, required=True)
    version = fields.Integer(required=True, validate=validate.Range(1))


class _ServiceSchemaV2(_RecordSchema):
    """Service record of schema 2."""

    name = fields.String(required=True, validate=_NAME_VALIDATOR)
    addresses = fields.List(EndpointField(), required=True, validate=validate.Length(0, 16))
    contract = fields.Nested(_ContractSchema, required=True)
    backend_servers = fields.List(fields.Nested(_BackendSchemaV2), required=True)
    quarantine_s = fields.Float(load_default=_DEFAULT_QUARANTINE_S, validate=_POSITIVE_VALIDATOR)

    @post_load
    def _build(self, loaded: dict[str, Any], **kwargs: Any) -> ServiceRecord:
        return _build_service(loaded, loaded['contract'], loaded['backend_servers'])


class _ServiceSchemaV1(_RecordSchema):
    """Service record of schema 1: one address, and the contract's keys at the top level."""

    name = fields.String(required=True, validate=_NAME_VALIDATOR)
    address = EndpointField(required=True)
    mode = fields.Enum(ContractKind, by_value=True, required=True)
    deadline_ms = fields.Integer(load_default=_DEFAULT_DEADLINE_MS)
    backends = fields.List(fields.Nested(_BackendSchemaV1), required=True)
    quarantine_s = fields.Float(load_default=_DEFAULT_QUARANTINE_S, validate=_POSITIVE_VALIDATOR)

    @post_load
    def _build(self, loaded: dict[str, Any], **kwargs: Any) -> ServiceRecord:
        contract = Contract(loaded['mode'], _DEFAULT_FLOW_IDLE_S, loaded['deadline_ms'])
        loaded['addresses'] = [loaded['address']]
        return _build_service(loaded, contract, loaded['backends'])


class _InstanceSchema(Schema):
    """One entry instance."""

    id = fields.String(required=True, validate=_NAME_VALIDATOR)
    zone = fields.String(required=True, validate=_NAME_VALIDATOR)
    peer = EndpointField(required=True)
    forward = EndpointField(required=True)
    admin = EndpointField(required=True)
    leaving = fields.Boolean(load_default=False)

    @post_load
    def _build(self, loaded: dict[str, Any], **kwargs: Any) -> Instance:
        return Instance(**loaded)


class _InstancesSchema(_RecordSchema):
    """List of the entry instances; the same in both schemas."""

    instances = fields.List(
        fields.Nested(_InstanceSchema),
        required=True,
        validate=validate.Length(1),
    )

    @post_load
    def _build(self, loaded: dict[str, Any], **kwargs: Any) -> InstancesRecord:
        _require_unique('instances', [instance.id for instance in loaded['instances']])
        return InstancesRecord(_record_version(loaded), tuple(loaded['instances']))


_SCHEMA_BY_KIND_AND_NUMBER: Mapping[tuple[str, int], Schema] = {
    (RecordKind.SERVICE.value, 1): _ServiceSchemaV1(unknown=RAISE),
    (RecordKind.SERVICE.value, 2): _ServiceSchemaV2(unknown=RAISE),
    (RecordKind.INSTANCES.value, 1): _InstancesSchema(unknown=RAISE),
    (RecordKind.INSTANCES.value, 2): _InstancesSchema(unknown=RAISE),
}


def parse_record(place: str, text: str) -> Result[Record, list[Problem]]:
    """Parses and validates one record.

    Args:
        place: Where the text came from; quoted in problems.
        text: JSON with comments.

    Returns:
        The record, or every problem found.
    """
    loaded = load_text(place, text)
    if isinstance(loaded, Err):
        return loaded
    raw = loaded.ok_value
    kind_and_number = (raw.get('kind'), raw.get('schema'))
    schema = (
        _SCHEMA_BY_KIND_AND_NUMBER.get(kind_and_number)
        if _has_valid_types(kind_and_number)
        else None
    )
    if schema is None:
        fault = (
            f'found kind {kind_and_number[0]!r} and schema {kind_and_number[1]!r}, '
            'use service or instances, 1 or 2'
        )
        return Err([Problem(place, 'schema', fault)])
    try:
        return Ok(schema.load(raw))
    except ValidationError as error:
        return Err(flatten_errors(place, error.messages))


def load_text(place: str, text: str) -> Result[dict[str, Any], list[Problem]]:
    """Parses the text of a JSON object with comments.

    Args:
        place: Where the text came from; quoted in problems.
        text: JSON with comments.

    Returns:
        The object, or the problem with its line and column.
    """
    try:
        raw = jsonc.loads(text)
    except json.JSONDecodeError as error:
        fault = f'not JSON with comments: {error.msg} at column {error.colno}'
        return Err([Problem(place, f'line {error.lineno}', fault)])
    except RecursionError:
        return Err([Problem(place, 'line 1', 'nested too deeply')])
    if not isinstance(raw, dict):
        return Err([Problem(place, 'line 1', 'found no object, use { ... }')])
    return Ok(raw)


def flatten_errors(place: str, messages: Any, path: str = '') -> list[Problem]:
    """Converts marshmallow's nested messages to a flat list of problems.

    Args:
        place: Where the text came from; quoted in problems.
        messages: Nested mappings and lists of messages.
        path: Dotted key path of ``messages``; empty for the whole document.

    Returns:
        One problem for each message.
    """
    if isinstance(messages, Mapping):
        problems: list[Problem] = []
        for key, nested in messages.items():
            problems.extend(flatten_errors(place, nested, f'{path}.{key}' if path else str(key)))
        return problems
    if isinstance(messages, str):
        messages = [messages]
    return [Problem(place, path, str(message)) for message in messages]


def _has_valid_types(kind_and_number: tuple[Any, Any]) -> bool:
    return isinstance(kind_and_number[0], str) and isinstance(kind_and_number[1], int)


def _record_version(loaded: Mapping[str, Any]) -> RecordVersion:
    return RecordVersion(loaded['version'], loaded['schema'])


def _build_operation(loaded: Mapping[str, Any], deadline_ms: int) -> Operation:
    idempotent = loaded['idempotent']
    if idempotent is None:
        idempotent = loaded['method'] in _IDEMPOTENT_METHODS
    return Operation(
        loaded['method'],
        loaded['path'],
        idempotent,
        loaded['work'],
        loaded['deadline_ms'] or deadline_ms,
        loaded['attempts'],
    )


def _build_service(
    loaded: Mapping[str, Any],
    contract: Contract,
    servers: list[BackendServer],
) -> ServiceRecord:
    _require_unique('backend_servers', [server.id for server in servers])
    _require_unique('backend_servers', [str(server.address) for server in servers])
    _require_unique('addresses', [str(address) for address in loaded['addresses']])
    return ServiceRecord(
        _record_version(loaded),
        loaded['name'],
        tuple(loaded['addresses']),
        contract,
        tuple(servers),
        loaded['quarantine_s'],
    )


def _require_unique(key: str, values: list[str]) -> None:
    duplicates = sorted({value for value in values if values.count(value) > 1})
    if duplicates:
        raise ValidationError({key: f'found {duplicates[0]!r} twice, use it once'})
