"""`lilacwalk device`: sends a request as a device, and makes tokens for devices."""

from __future__ import annotations

import ssl
import sys
import time

import click

from lilacwalk.commands.options import exit_unusable

OUTCOMES = ("completed", "denied", "terminated")
EXIT_CODES = (0, 3, 4)  # for OUTCOMES, in the same order
EXIT_NO_ANSWER = 5
SECONDS_PER_DAY = 86_400


@click.group()
def device() -> None:
    """Send a request over the device link, or make tokens for devices."""


@device.command(name="ask")
@click.argument("address")
@click.argument("request_class", metavar="GROUP")
@click.option("--body", default="", help="body of the request")
@click.option(
    "--token",
    envvar="LILACWALK_TOKEN",
    default="",
    help="token of the device, in hexadecimal digits",
)
@click.option(
    "--wait",
    "timeout",
    default=2000,
    show_default=True,
    help="timeout of the request, milliseconds",
)
@click.option("--customer", "tenant", default="", help="tenant of the request")
@click.option(
    "--key", "idempotency_key", default="", help="idempotency key of a deduplicated request"
)
@click.option("--coap", is_flag=True, help="use CoAP instead of the device link")
@click.option(
    "--tls-authority",
    type=click.Path(exists=True),
    help="use TLS on the device link, with the CA certificates in this file",
)
@click.option("--server-name", help="host name expected in the edge's certificate")
def send_request(
    address: str,
    request_class: str,
    body: str,
    token: str,
    timeout: int,
    tenant: str,
    idempotency_key: str,
    coap: bool,
    tls_authority: str | None,
    server_name: str | None,
) -> None:
    """Send one request of class GROUP to the edge at ADDRESS (IP address and port).

    Exit codes: 0 completed, 3 denied, 4 terminated, 5 no answer in time or refused by the edge.
    """
    edge_address, token_bytes = parse_edge_arguments(address, token)
    tls_context = ssl.create_default_context(cafile=tls_authority) if tls_authority else None
    try:
        if coap:
            from lilacwalk.edge.client.coap import CoapDevice

            coap_device = CoapDevice(edge_address, token_bytes, time.monotonic_ns())
            answer = coap_device.ask(
                request_class, body.encode(), timeout, c=tenant, k=idempotency_key
            )
            coap_device.end()
        else:
            from lilacwalk.edge.client.device import ask_once

            answer = ask_once(
                edge_address,
                token_bytes,
                request_class,
                body.encode(),
                timeout,
                tls_context,
                server_name,
                customer=tenant,
                key=idempotency_key,
            )
    except (TimeoutError, OSError, ValueError) as error:
        print(f"lilacwalk: request to {address} failed: {error}", file=sys.stderr)
        sys.exit(EXIT_NO_ANSWER)
    text = answer.body.decode("utf-8", "replace")
    print(f"outcome={OUTCOMES[answer.word]} come_back_ms={answer.come_back} body={text!r}")
    sys.exit(EXIT_CODES[answer.word])


def parse_edge_arguments(address: str, token: str) -> tuple[tuple[str, int], bytes]:
    """Returns the edge's address and the token in bytes.

    Raises:
        click.UsageError: the address or the token is not in the expected format.
    """
    from lilacwalk.operator.units import parse_endpoint

    try:
        return parse_endpoint(address), bytes.fromhex(token)
    except ValueError as error:
        message = (
            "expected ADDRESS as 192.0.2.1:5700 or [2001:db8::1]:5700, and --token as an even "
            f"number of hexadecimal digits; got ADDRESS {address} and a token of {len(token)} "
            "characters"
        )
        raise click.UsageError(message) from error


@device.command()
@click.argument("secrets", type=click.Path(exists=True))
@click.argument("name")
@click.option("--days", default=365, show_default=True, help="days until the token expires")
def token(secrets: str, name: str, days: int) -> None:
    """Make a token for device NAME, signed with the first secret in the file SECRETS."""
    from lilacwalk.edge.credentials import EdgeError, read_secrets
    from lilacwalk.edge.tokens import DEVICE, Tokens

    try:
        tokens = Tokens(read_secrets(secrets), b"")
    except EdgeError as error:
        exit_unusable(f"lilacwalk: {error}")
    expires_at = int(time.time()) + days * SECONDS_PER_DAY
    print(tokens.make(DEVICE, name.encode(), expires_at).hex())
