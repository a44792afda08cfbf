"""Settings of an entry, read from flags and `SLATECHUTE_...` variables.

Each setting is one field of `EntrySettings`; its flag, its variable and its
help text are derived from the field.
"""

from collections.abc import Callable, Mapping
import ipaddress
import os
import pathlib
import re
from typing import Any, Literal
import urllib.parse

from cleo import helpers
from cleo.io.inputs import option
import pydantic
import pydantic_settings

from slatechute import errors
from slatechute.util import addresses

__all__ = [
    "ENV_PREFIX",
    "EntrySettings",
    "cleo_options",
    "environment_name",
    "flag_name",
    "help_text",
    "load",
    "origins",
    "read_flags",
    "display_value",
    "unknown_variables",
]

ENV_PREFIX = "SLATECHUTE_"

_MIN_FLEET_KEY_LENGTH = 16

# A longer file is not a key, so the path is wrong.
_MAX_FLEET_KEY_LENGTH = 4096


class EntrySettings(pydantic_settings.BaseSettings):
    """Settings of one entry, validated together at startup.

    Attributes:
        entry_id: Name of this entry; letters, digits, `-` and `_`.
        data_centre: Data centre of this host.
        address: IP and port for callers; announced to them, so not 0.0.0.0.
        peer_address: IP and port for links from other entries.
        admin_address: IP and port for operators; reachable from outside only
            when it is not a loopback address.
        platform_url: Base URL of the platform service, with an IP.
        fleet_key_file: File with the shared key, instead of `fleet_key`.
        fleet_key: Shared key by which peers authenticate each other, at least
            16 characters. A flag is visible in the list of processes, so use
            the file in production.
        policy: How a slot is chosen; `owner` in production.
        group_size: Entries that share the targets of a service.
        fan_out: Dispatchers that a slot request is first sent to.
        spread_degree: Neighbours that documents are sent to.
        max_body_bytes: Largest request body.
        body_memory_bytes: Memory that the bodies of all requests may take.
        max_connections: Callers' connections accepted at a time.
        request_table_size: Request ids kept to detect resends.
        drain_limit_ms: Longest wait of a planned stop for requests in flight.
        log_level: Lowest level of the log lines on standard error.
    """

    model_config = pydantic_settings.SettingsConfigDict(
        env_prefix=ENV_PREFIX,
        env_ignore_empty=True,
        extra="forbid",
        frozen=True,
    )

    entry_id: str = pydantic.Field(pattern=r"^[A-Za-z0-9_-]{1,64}$")
    data_centre: str = pydantic.Field(min_length=1, max_length=64)
    address: str = "127.0.0.1:8400"
    peer_address: str = "127.0.0.1:8401"
    admin_address: str = "127.0.0.1:8402"
    platform_url: str = "http://127.0.0.1:8500"
    # The validator of fleet_key reads fleet_key_file, which must come first.
    fleet_key_file: pathlib.Path | None = None
    fleet_key: pydantic.SecretStr = pydantic.Field(
        default=pydantic.SecretStr(""), validate_default=True
    )
    policy: Literal[
        "owner", "random_choice", "least_in_flight", "two_choices"
    ] = "owner"
    group_size: int = pydantic.Field(default=24, ge=1, le=256)
    fan_out: int = pydantic.Field(default=6, ge=1, le=64)
    spread_degree: int = pydantic.Field(default=6, ge=1, le=64)
    max_body_bytes: int = pydantic.Field(default=1 << 20, ge=0, le=1 << 28)
    body_memory_bytes: int = pydantic.Field(default=1 << 28, ge=1 << 20)
    max_connections: int = pydantic.Field(default=10_000, ge=1)
    request_table_size: int = pydantic.Field(default=200_000, ge=1)
    drain_limit_ms: int = pydantic.Field(default=600_000, ge=0)
    log_level: Literal["debug", "info", "notice", "warning", "error"] = "info"

    @pydantic.field_validator("address", "peer_address", "admin_address")
    @classmethod
    def _check_address(cls, value: str, info: pydantic.ValidationInfo) -> str:
        host, port = addresses.split_address(value)
        if info.field_name != "admin_address" and (
            ipaddress.ip_address(host).is_unspecified
        ):
            raise ValueError(
                f"{value!r} is sent to other hosts and must name one interface"
            )
        for other in ("address", "peer_address"):
            if port and info.data.get(other) == value:
                raise ValueError(f"{value!r} is also the {other}")
        return value

    @pydantic.field_validator("platform_url")
    @classmethod
    def _check_platform_url(cls, value: str) -> str:
        parts = urllib.parse.urlsplit(value)
        if parts.scheme not in ("http", "https") or not parts.hostname:
            raise ValueError("not an http:// or https:// URL")
        if parts.username is not None or parts.password is not None:
            raise ValueError("a URL with credentials would appear in logs")
        try:
            ipaddress.ip_address(parts.hostname)
            parts.port  # noqa: B018 - raises for a bad port
        except ValueError:
            raise ValueError(
                f"{value!r}: hosts are named by IP address and port"
            ) from None
        return value.rstrip("/")

    @pydantic.field_validator("fleet_key_file", mode="after")
    @classmethod
    def _check_fleet_key_file(
        cls, value: pathlib.Path | None
    ) -> pathlib.Path | None:
        if value is not None:
            _read_fleet_key(value)
        return value

    @pydantic.field_validator("fleet_key", mode="after")
    @classmethod
    def _resolve_fleet_key(
        cls, value: pydantic.SecretStr, info: pydantic.ValidationInfo
    ) -> pydantic.SecretStr:
        if "fleet_key_file" not in info.data:
            return value  # The problem with the file has been reported.
        path = info.data["fleet_key_file"]
        key_text = value.get_secret_value()
        if path is None and not key_text:
            raise ValueError("missing; give fleet_key_file or fleet_key")
        if path is not None:
            key = _read_fleet_key(path)
            if key_text and key_text != key:
                raise ValueError("differs from the content of fleet_key_file")
            return pydantic.SecretStr(key)
        if len(key_text) < _MIN_FLEET_KEY_LENGTH:
            raise ValueError(f"shorter than {_MIN_FLEET_KEY_LENGTH} characters")
        return value


def _read_fleet_key(path: pathlib.Path) -> str:
    try:
        with path.open(encoding="utf-8") as file:
            key = file.read(_MAX_FLEET_KEY_LENGTH + 1).strip()
    except OSError as error:
        raise ValueError(f"{path}: {error.strerror}") from None
    except UnicodeDecodeError:
        raise ValueError(f"{path}: not a text file") from None
    if not _MIN_FLEET_KEY_LENGTH <= len(key) <= _MAX_FLEET_KEY_LENGTH:
        raise ValueError(
            f"{path}: the key must have {_MIN_FLEET_KEY_LENGTH} to "
            f"{_MAX_FLEET_KEY_LENGTH} characters"
        )
    return key


def flag_name(field: str) -> str:
    """Return the flag of a setting without the leading dashes.

    >>> flag_name("fan_out")
    'fan-out'
    """
    return field.replace("_", "-")


def environment_name(field: str) -> str:
    """Return the environment variable of a setting.

    >>> environment_name("fan_out")
    'SLATECHUTE_FAN_OUT'
    """
    return ENV_PREFIX + field.upper()


def help_text(field: str) -> str:
    """Return the description of a setting from the class doc comment.

    >>> help_text("fan_out")
    'Dispatchers that a slot request is first sent to.'
    """
    match = re.search(
        rf"^ +{field}: (.*?)(?=^ +\w+: |\Z)",
        EntrySettings.__doc__ or "",
        re.MULTILINE | re.DOTALL,
    )
    return " ".join(match[1].split()) if match else ""


def cleo_options() -> list[option.Option]:
    """Return one command line option for each setting."""
    options = []
    for field, info in EntrySettings.model_fields.items():
        notes = [environment_name(field)]
        if info.is_required():
            notes.append("required")
        elif info.default is not None and not _is_secret(field):
            notes.append(f"default {info.default}")
        text = f"{help_text(field)} ({'; '.join(notes)})"
        options.append(helpers.option(flag_name(field), None, text, flag=False))
    return options


def read_flags(option_value: Callable[[str], Any]) -> dict[str, Any]:
    """Return the values of the options, None for those not set.

    Args:
        option_value: Returns the value of an option; the `option` method of a
            command with `cleo_options()`.
    """
    return {
        field: option_value(flag_name(field))
        for field in EntrySettings.model_fields
    }


def load(flags: Mapping[str, Any]) -> EntrySettings:
    """Build the settings from flags, the environment and defaults.

    Args:
        flags: Values by field or flag name, None for flags not set.

    Raises:
        errors.SettingsError: At least one setting is invalid. The message names
            all of them.
    """
    try:
        return EntrySettings(**_normalize_flags(flags))
    except pydantic.ValidationError as error:
        # The input is not part of the message, since it may be a secret.
        problems = [
            _format_problem(str(item["loc"][0]), item["msg"])
            for item in error.errors(include_input=False, include_url=False)
        ]
        raise errors.SettingsError("; ".join(problems)) from None


def _format_problem(field: str, text: str) -> str:
    if field not in EntrySettings.model_fields:
        return f"{field}: no such setting"
    text = text.removeprefix("Value error, ")
    return f"--{flag_name(field)} ({environment_name(field)}): {text}"


def _normalize_flags(flags: Mapping[str, Any]) -> dict[str, Any]:
    return {
        name.replace("-", "_"): value
        for name, value in flags.items()
        if value is not None
    }


def origins(
    flags: Mapping[str, Any], environment: Mapping[str, str] | None = None
) -> dict[str, str]:
    """Return where the value of each setting comes from.

    Args:
        flags: Flags as for `load`.
        environment: Environment variables; those of the process if None.

    Returns:
        `flag`, `environment`, `file` or `default` by field.
    """
    flag_values = _normalize_flags(flags)
    variables = _present_variables(environment)
    origin_by_field = {}
    for field in EntrySettings.model_fields:
        if field in flag_values:
            origin_by_field[field] = "flag"
        elif environment_name(field) in variables:
            origin_by_field[field] = "environment"
        else:
            origin_by_field[field] = "default"
    if (
        origin_by_field["fleet_key"] == "default"
        and origin_by_field["fleet_key_file"] != "default"
    ):
        origin_by_field["fleet_key"] = "file"
    return origin_by_field


def unknown_variables(
    environment: Mapping[str, str] | None = None,
) -> list[str]:
    """Return variables with the prefix that are not settings.

    They are reported but accepted, so that the variables of the next version
    can be set on a host before that version is installed.
    """
    known = {environment_name(field) for field in EntrySettings.model_fields}
    return sorted(_present_variables(environment) - known)


def _present_variables(environment: Mapping[str, str] | None) -> set[str]:
    variables = os.environ if environment is None else environment
    # As in pydantic-settings, names are case-insensitive and empty variables
    # count as unset.
    names = {name.upper() for name, value in variables.items() if value}
    return {name for name in names if name.startswith(ENV_PREFIX)}


def _is_secret(field: str) -> bool:
    annotation = EntrySettings.model_fields[field].annotation
    return annotation is pydantic.SecretStr


def display_value(settings: EntrySettings, field: str) -> str:
    """Return a setting as text with secrets masked."""
    value = getattr(settings, field)
    return "" if value is None else str(value)
