"""Reads the process configuration, a JSON file.

A SIGHUP applies only changed addresses of the executor, the service registry and the dependency.
"""

from __future__ import annotations

import json
import socket

from lilacwalk.errors import LilacwalkError
from lilacwalk.limits import Limits
from lilacwalk.overload.model import ServerSettings
from lilacwalk.settings import SettingsError, decode_server_settings

Address = tuple[str, int]

MAX_PORT = 65_535


class ConfigurationError(LilacwalkError):
    """The configuration is invalid or cannot be applied; the message is for the operator.

    The message is a single line, except that of an `OperatorFileError`.
    """


class OperatorFileError(ConfigurationError):
    """The operator's file, which configures the optional subsystems, is invalid.

    The message has a line for each error, with file, line and word, and is printed without prefix.
    """


class ConfigurationFileError(ConfigurationError):
    """The process configuration cannot be read or parsed."""

    def __init__(self, path: str, problem: str) -> None:
        """`problem` describes the error without the path."""
        super().__init__(f"configuration {path}: {problem}")
        self.path = path
        self.problem = problem


class InvalidConfigurationError(ConfigurationError):
    """A value in the configuration is missing or invalid."""

    def __init__(self, problem: str) -> None:
        """`problem` names the value and states why it is invalid."""
        super().__init__(f"configuration: {problem}")
        self.problem = problem


class InvalidAddressError(InvalidConfigurationError):
    """An address in the configuration is not `host:port` with a numeric IPv4 host."""

    def __init__(self, name: str, value: object) -> None:
        """`name` is the key of the address in the file, `value` the value found there."""
        super().__init__(f"{name}={value}: expected host:port with a numeric IPv4 host")
        self.name = name
        self.value = value


class ListenError(ConfigurationError):
    """The address to listen on cannot be bound."""

    def __init__(self, address: str, problem: str | None) -> None:
        """`problem` is the operating system's error message."""
        super().__init__(f"cannot listen on {address}: {problem}")
        self.address = address
        self.problem = problem


def read_configuration(path: str) -> dict:
    """Reads the configuration file.

    Raises:
        ConfigurationFileError: The file cannot be read, is not JSON or has no settings.
    """
    try:
        with open(path, encoding="utf-8") as file:
            config = json.load(file)
    except OSError as error:
        raise ConfigurationFileError(path, str(error.strerror)) from error
    except (ValueError, RecursionError) as error:
        raise ConfigurationFileError(path, f"cannot be decoded as UTF-8 JSON: {error}") from error
    if not isinstance(config, dict) or not isinstance(config.get("settings"), dict):
        raise ConfigurationFileError(path, 'expected a JSON object with an object "settings"')
    return config


def decode_address(config: dict, name: str) -> Address:
    """Decodes the address under `name`: `host:port` with a numeric IPv4 host.

    Host names are not accepted, because resolving them would block the event loop.

    Returns:
        The host and the port.

    Raises:
        InvalidAddressError: The address is missing or has another form.
    """
    host, _, port = str(config.get(name, "")).rpartition(":")
    try:
        is_valid = (
            bool(socket.inet_pton(socket.AF_INET, host))
            and port.isdecimal()
            and int(port) <= MAX_PORT
        )
    except (OSError, ValueError):
        is_valid = False
    if not is_valid:
        raise InvalidAddressError(name, config.get(name))
    return host, int(port)


def decode_addresses(config: dict) -> dict[str, Address]:
    """Decodes all addresses of the configuration by their keys.

    The keys are those of the listener (`listen`), the executor (`kernel`), the service registry
    (`directory`) and the dependency (`index`), which is absent if no dependency is configured.

    Raises:
        InvalidAddressError: An address is missing or invalid.
    """
    names = ["listen", "kernel", "directory"]
    if config.get("index"):
        names.append("index")
    return {name: decode_address(config, name) for name in names}


def decode_configuration(config: dict) -> tuple[ServerSettings, Limits]:
    """Decodes the settings of the controller and the limits of this process.

    Raises:
        InvalidConfigurationError: A value is missing or invalid.
    """
    try:
        seed = int(str(config.get("seed", "0")), 16)
        return decode_server_settings(config["settings"], seed), Limits.from_configuration(config)
    except (
        SettingsError,
        ValueError,
        AttributeError,
        TypeError,
        LookupError,
        OverflowError,
    ) as error:
        problem = f"invalid settings, limits or seed: {error}"
        raise InvalidConfigurationError(problem) from error
