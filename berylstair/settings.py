"""Reads and validates the settings file of a daemon, JSON with comments."""

import time
from dataclasses import dataclass, field
from enum import Enum, unique
from pathlib import Path
from typing import Any

from marshmallow import RAISE, Schema, ValidationError, fields, post_load, validate
from result import Err

from berylstair.claim import HomeZoneWitnessPlacement, SpreadWitnessPlacement, WitnessPlacement
from berylstair.core import CoreSettings
from berylstair.errors import ConfigurationError, Problem
from berylstair.ids import Endpoint, InstanceId, ZoneId, parse_endpoint
from berylstair.policy import POLICY_FACTORY_BY_NAME
from berylstair.schema import EndpointField, flatten_errors, load_text

__all__ = [
    'WITNESS_PLACEMENT_BY_NAME',
    'FabricMode',
    'FabricSettings',
    'PeerSecurity',
    'SecurityMode',
    'Settings',
    'SourceKind',
    'SourceSettings',
    'load_settings',
]

_MS_PER_S = 1000

WITNESS_PLACEMENT_BY_NAME: dict[str, type[WitnessPlacement]] = {
    'spread': SpreadWitnessPlacement,
    'home_zone': HomeZoneWitnessPlacement,
}


@unique
class FabricMode(Enum):
    """How the network fabric delivers packets to the instance.

    DIRECT: the service addresses are configured on this machine, and packets
    arrive at them. ENCAPSULATED: all packets arrive at one port, each preceded
    by a PROXY header.
    """

    DIRECT = 'direct'
    ENCAPSULATED = 'encapsulated'


@unique
class SourceKind(Enum):
    """Kind of the configuration source, from which records are read."""

    HTTP = 'http'
    DIRECTORY = 'directory'


@unique
class SecurityMode(Enum):
    """How connections between instances are protected."""

    MUTUAL_TLS = 'mutual_tls'
    PLAINTEXT = 'plaintext'


@dataclass(frozen=True, slots=True)
class FabricSettings:
    """Fabric mode and, if encapsulated, the endpoints to listen on and to send responses to."""

    mode: FabricMode
    listen: Endpoint | None = None
    relay: Endpoint | None = None


@dataclass(frozen=True, slots=True)
class SourceSettings:
    """URL of the platform's configuration service, or path of a directory of record files."""

    kind: SourceKind
    url: str = ''
    path: str = ''


@dataclass(frozen=True, slots=True)
class PeerSecurity:
    """Paths of the files for mutual TLS; the certificate has the instance id as DNS name."""

    mode: SecurityMode
    certificate: str = ''
    key: str = ''
    authority: str = ''


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of one daemon.

    Attributes:
        address_map: Actual endpoints to use, by the endpoints that records list.
        seeds: Peer endpoints to start from while the platform is unreachable.
    """

    core: CoreSettings
    fabric: FabricSettings
    source: SourceSettings
    peer_security: PeerSecurity
    forward_listen: Endpoint
    backend_listen: Endpoint
    peer_listen: Endpoint
    admin_listen: Endpoint
    policy: str
    witness_placement: str
    address_map: dict[Endpoint, Endpoint] = field(default_factory=dict)
    seeds: tuple[Endpoint, ...] = ()


class _FabricSchema(Schema):
    """Fabric settings."""

    mode = fields.Enum(FabricMode, by_value=True, required=True)
    listen = EndpointField(load_default=None)
    relay = EndpointField(load_default=None)

    @post_load
    def _build(self, loaded: dict[str, Any], **kwargs: Any) -> FabricSettings:
        fabric = FabricSettings(**loaded)
        if fabric.mode is FabricMode.ENCAPSULATED and not (fabric.listen and fabric.relay):
            raise ValidationError('mode encapsulated needs listen and relay')
        return fabric


class _SourceSchema(Schema):
    """Source settings."""

    kind = fields.Enum(SourceKind, by_value=True, required=True)
    url = fields.String(load_default='')
    path = fields.String(load_default='')

    @post_load
    def _build(self, loaded: dict[str, Any], **kwargs: Any) -> SourceSettings:
        source = SourceSettings(**loaded)
        if source.kind is SourceKind.HTTP and not source.url.startswith(('http://', 'https://')):
            raise ValidationError(f'kind http needs an http:// url, found {source.url!r}')
        if source.kind is SourceKind.DIRECTORY and not source.path:
            raise ValidationError('kind directory needs a path')
        return source


class _PeerSecuritySchema(Schema):
    """Peer security settings."""

    mode = fields.Enum(SecurityMode, by_value=True, required=True)
    certificate = fields.String(load_default='')
    key = fields.String(load_default='')
    authority = fields.String(load_default='')

    @post_load
    def _build(self, loaded: dict[str, Any], **kwargs: Any) -> PeerSecurity:
        security = PeerSecurity(**loaded)
        files = (security.certificate, security.key, security.authority)
        if security.mode is SecurityMode.MUTUAL_TLS and not all(files):
            raise ValidationError('mode mutual_tls needs certificate, key and authority')
        return security


class _LimitsSchema(Schema):
    """Time and capacity limits of the instance."""

    request_lifetime_s = fields.Float(load_default=60.0, validate=validate.Range(1, 3600))
    max_stale_s = fields.Float(load_default=86400.0, validate=validate.Range(1))
    max_flows = fields.Integer(load_default=400_000, validate=validate.Range(1))
    max_requests = fields.Integer(load_default=100_000, validate=validate.Range(1))
    max_queue = fields.Integer(load_default=2000, validate=validate.Range(1))
    drain_limit_s = fields.Float(load_default=60.0, validate=validate.Range(0))
    linger_s = fields.Float(load_default=5.0, validate=validate.Range(0))


class _SettingsSchema(Schema):
    """All settings."""

    instance = fields.String(required=True)
    zone = fields.String(required=True)
    fabric = fields.Nested(_FabricSchema, required=True)
    source = fields.Nested(_SourceSchema, required=True)
    peer_security = fields.Nested(_PeerSecuritySchema, required=True)
    forward_listen = EndpointField(required=True)
    backend_listen = EndpointField(required=True)
    peer_listen = EndpointField(required=True)
    admin_listen = EndpointField(required=True)
    policy = fields.String(
        load_default='least_loaded',
        validate=validate.OneOf(tuple(POLICY_FACTORY_BY_NAME)),
    )
    witness_placement = fields.String(
        load_default='spread',
        validate=validate.OneOf(tuple(WITNESS_PLACEMENT_BY_NAME)),
    )
    limits = fields.Nested(_LimitsSchema, load_default=lambda: _LimitsSchema().load({}))
    address_map = fields.Dict(keys=fields.String(), values=EndpointField(), load_default=dict)
    seeds = fields.List(EndpointField(), load_default=list)

    @post_load
    def _build(self, loaded: dict[str, Any], **kwargs: Any) -> Settings:
        limits = loaded.pop('limits')
        core_settings = CoreSettings(
            instance=InstanceId(loaded.pop('instance')),
            zone=ZoneId(loaded.pop('zone')),
            incarnation=round(time.time() * _MS_PER_S),
            **limits,
        )
        loaded['address_map'] = _parse_address_map(loaded['address_map'])
        loaded['seeds'] = tuple(loaded['seeds'])
        return Settings(core=core_settings, **loaded)


def _parse_address_map(raw: dict[str, Endpoint]) -> dict[Endpoint, Endpoint]:
    try:
        return {parse_endpoint(published): actual for published, actual in raw.items()}
    except ValueError as error:
        raise ValidationError({'address_map': str(error)}) from error


def load_settings(path: Path) -> Settings:
    """Reads and validates a settings file.

    Args:
        path: Path of the file.

    Returns:
        The settings.

    Raises:
        ConfigurationError: The file cannot be read or is invalid; every
            problem names the file, the key and what is allowed.
    """
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigurationError(
            [Problem(str(path), 'file', f'cannot be read: {error}')]
        ) from error
    loaded = load_text(str(path), text)
    if isinstance(loaded, Err):
        raise ConfigurationError(loaded.err_value)
    try:
        return _SettingsSchema(unknown=RAISE).load(loaded.ok_value)
    except ValidationError as error:
        raise ConfigurationError(flatten_errors(str(path), error.messages)) from error
