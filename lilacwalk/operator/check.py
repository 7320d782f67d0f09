"""Prints the configuration that an operator's file gives, or every problem of the file.

The files that its blocks refer to (keys, secrets, certificates) are read as well, so that an
unusable one is found by `check` and not only at the start of an app server.
"""

from __future__ import annotations

import sys
from datetime import UTC, datetime
from typing import TYPE_CHECKING

from lilacwalk.errors import LilacwalkError
from lilacwalk.operator.loader import (
    UnusableFileError,
    load_operator_file,
    read_text,
)
from lilacwalk.operator.syntax import parse_statements

if TYPE_CHECKING:
    from lilacwalk.bgp.config import BgpConfig
    from lilacwalk.edge.config import EdgeConfig
    from lilacwalk.failover.config import FailoverConfig
    from lilacwalk.membership.config import FleetConfig
    from lilacwalk.operator.schema import OperatorConfig
    from lilacwalk.retry_storms.config import RetryStormConfig
    from lilacwalk.storage.config import StorageConfig

EXIT_USABLE = 0
EXIT_UNUSABLE = 2
TENTHS_OF_MS_PER_MS = 10
TENTHS_OF_MS_PER_SECOND = 10_000


class CertificateValidityError(LilacwalkError):
    """A certificate has expired or is not valid yet.

    Attributes:
        path: the certificate's file.
        not_before: start of the certificate's validity.
        not_after: end of the certificate's validity.
    """

    def __init__(self, path: str, not_before: datetime, not_after: datetime) -> None:
        """Formats the period of validity."""
        super().__init__(
            f"certificate {path} is not valid now: "
            f"valid from {not_before:%Y-%m-%d} to {not_after:%Y-%m-%d}"
        )
        self.path = path
        self.not_before = not_before
        self.not_after = not_after


def check_operator_file(path: str) -> int:
    """Prints the configuration of a file, block by block, and returns the command's exit code."""
    try:
        config = load_operator_file(path)
    except UnusableFileError as error:
        print(error, file=sys.stderr)
        return EXIT_UNUSABLE
    if config is None:
        for block in ("edge", "fleet", "store", "storms", "sites", "announce"):
            print(f"{block}=off")
        return EXIT_USABLE
    return _print_config(config, path)


def _print_config(config: OperatorConfig, path: str) -> int:
    edge_code = _print_edge(config.edge)
    fleet_code = _print_fleet(config.fleet)
    _print_store(config.store)
    _print_storms(config.storms)
    _print_sites(config.sites, path)
    _print_announce(config.announce)
    return fleet_code or edge_code


def _print_edge(config: EdgeConfig | None) -> int:
    if config is None:
        print("edge=off")
        return EXIT_USABLE
    from lilacwalk.edge.credentials import EdgeError, create_tls_context, read_secrets

    host, port = config.listen
    print(
        f"edge listen={host}:{port} sessions={config.sessions} kept={config.kept} "
        f"tls={'off' if config.tls is None else 'mutual' if config.tls.mutual else 'on'}"
    )
    try:
        print(f"secrets={len(read_secrets(config.secrets))}")
        if config.tls is not None:
            create_tls_context(config.tls)
            expiry = certificate_expiry(config.tls.certificate)
            print(
                f"certificate={config.tls.certificate} key={config.tls.key} fit=yes "
                f"until={expiry or 'untold'}"
            )
    except (EdgeError, CertificateValidityError) as error:
        print(f"lilacwalk: {error}", file=sys.stderr)
        return EXIT_UNUSABLE
    return EXIT_USABLE


def certificate_expiry(path: str) -> str:
    """Returns the time at which a certificate expires.

    The result is empty if the optional library `cryptography` is not installed.

    Raises:
        CertificateValidityError: the certificate has expired or is not valid yet.
    """
    try:
        from cryptography import x509
    except ImportError:
        return ""
    with open(path, "rb") as file:
        certificate = x509.load_pem_x509_certificate(file.read())
    not_before = certificate.not_valid_before_utc
    not_after = certificate.not_valid_after_utc
    if not not_before <= datetime.now(UTC) < not_after:
        raise CertificateValidityError(path, not_before, not_after)
    return f"{not_after:%Y-%m-%dT%H:%M:%SZ}"


def _print_fleet(config: FleetConfig | None) -> int:
    if config is None:
        print("fleet=off")
        return EXIT_USABLE
    from lilacwalk.membership.host import FleetError, read_keys

    host, port = config.advertised_address
    print(
        f"fleet name={config.name or 'its own'} site={config.site} advertise={host}:{port} "
        f"seeds={len(config.seed)} "
        f"probe_interval_ms={config.probe_interval / TENTHS_OF_MS_PER_MS:g} "
        f"store={config.store or 'none'} withdraw_share={config.withdraw_share:g}"
    )
    try:
        print(f"keys={len(read_keys(config.key))}")
    except FleetError as error:
        print(f"lilacwalk: {error}", file=sys.stderr)
        return EXIT_UNUSABLE
    return EXIT_USABLE


def _print_store(config: StorageConfig | None) -> None:
    if config is None:
        print("store=off")
        return
    print(
        f"store directory={config.directory} durability={config.durability} "
        f"unkept={config.unpersisted_effects} most={config.max_bytes} "
        f"effects_s={config.effect_retention // TENTHS_OF_MS_PER_SECOND}"
    )


def _print_storms(config: RetryStormConfig | None) -> None:
    if config is None:
        print("storms=off")
        return
    print(
        f"storms retries={config.retry_ratio:g} budget={config.limits_retries} "
        f"spread={config.spreads_retry_after} late_first={config.sheds_late_first}"
    )


def _print_sites(config: FailoverConfig | None, path: str) -> None:
    """Prints the sites block, with a warning for each required failure that is not survivable."""
    if config is None:
        print("sites=off")
        return
    from lilacwalk.failover.planner import configured_capacities, plan_failover, required_failures
    from lilacwalk.failover.sizing import additional_cores_needed

    capacities = configured_capacities(config)
    print(
        f"sites={len(config.site)} classes={len(config.classes)} headroom={config.headroom:g} "
        f"bear={','.join(config.bear)}"
    )
    line = _line_in_sites_block(path, "bear")
    for names in required_failures(config):
        plan = plan_failover(config, capacities, dict.fromkeys(names, 1.0))
        if plan.is_sufficient:
            continue
        cores = additional_cores_needed(config, capacities, plan.failed)
        remedy = (
            "no number of additional cores suffices"
            if cores is None
            else f"additional cores needed: {cores}"
        )
        print(
            f"{path}:{line}: warning: the loss of {' and '.join(names)} is not survivable: "
            f"binding constraint {plan.binding_constraint}, {remedy}"
        )


def _line_in_sites_block(path: str, keyword: str) -> int:
    """Returns the line of a statement in the sites block, or of the block if it has none."""
    statements, _ = parse_statements(read_text(path))
    for statement in statements:
        if statement.keyword == "sites":
            lines = (inner.line for inner in statement.block or [] if inner.keyword == keyword)
            return next(lines, statement.line)
    return 1


def _print_announce(config: BgpConfig | None) -> None:
    if config is None:
        print("announce=off")
        return
    print(
        f"announce as={config.as_} router_id={config.router_id} "
        f"ready_for_ms={config.ready_for / TENTHS_OF_MS_PER_MS:g} "
        f"propagation_ms={config.propagation / TENTHS_OF_MS_PER_MS:g} "
        f"hold_time_s={config.hold_time // TENTHS_OF_MS_PER_SECOND}"
    )
    for service in config.service:
        print(f"service={service.prefix} next_hop={service.next_hop or config.next_hop}")
    for peer in config.peer:
        print(
            f"peer={peer.name} as={peer.as_} mode={peer.mode} import={peer.import_ or 'none'} "
            f"export={peer.export or 'all'} max_prefixes={peer.max_prefixes}"
        )
