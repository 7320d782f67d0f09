"""The `announce` block of the operator's file as frozen records, validated by `operator/`.

Times are in tenths of a millisecond. A field's `unit` names the notation of its value in the file.
`ARGUMENTS` are the words after a block's keyword, in order; `INLINE` are the keyword-value pairs
that follow the arguments.
"""

from __future__ import annotations

from collections import Counter
from typing import Annotated, ClassVar

from msgspec import Meta, Struct

from lilacwalk.bgp.prefixes import WIDTH, Afi, Prefix

SECOND = 10_000


def unit(name: str, **limits) -> Meta:
    """Returns field metadata with the notation `name` and msgspec's limits of the value."""
    return Meta(extra={"unit": name}, **limits)


Time = Annotated[int, unit("duration", ge=0, le=24 * 3600 * SECOND)]
Asn = Annotated[int, Meta(ge=1, le=4_294_967_295)]
Number = Annotated[int, Meta(ge=0, le=4_294_967_295)]
Community = Annotated[int, unit("community")]
Address = Annotated[str, unit("address")]
# Number of times that our AS number is prepended; routers may reject longer paths.
PrependCount = Annotated[int, Meta(ge=0, le=20)]


class Service(Struct, frozen=True, kw_only=True):
    """A service address to announce."""

    ARGUMENTS: ClassVar = ("prefix",)
    prefix: Annotated[object, unit("prefix")]
    next_hop: Address | None = None
    communities: Annotated[tuple[Community, ...], unit("words")] = ()
    med: Number | None = None


class Damping(Struct, frozen=True, kw_only=True):
    """Flap damping of our own announcements (RFC 2439 section 4.2).

    The defaults are those of the example in the operators' documentation. Suppression starts when
    the penalty reaches `suppress` and ends when it has decayed to `reuse`, after at most `longest`.
    """

    half_life: Annotated[int, unit("duration", ge=SECOND // 10, le=3600 * SECOND)] = 5 * SECOND
    suppress: Annotated[int, Meta(ge=1, le=1_000_000)] = 3_000
    reuse: Annotated[int, Meta(ge=1, le=1_000_000)] = 750
    longest: Annotated[int, unit("duration", ge=SECOND // 10, le=24 * 3600 * SECOND)] = 30 * SECOND

    def faults(self) -> list[tuple[str, str]]:
        """Returns the invalid keywords, each with the expected value."""
        found = []
        if self.reuse >= self.suppress:
            found.append(("reuse", f"less than suppress, which is {self.suppress}"))
        elif self.longest < self.half_life:
            found.append(("longest", "at least half-life"))
        return found


class Sick(Struct, frozen=True, kw_only=True):
    """Settings for announcing an unhealthy node.

    The node is announced with lower preference (`med`, `prepend`) after `less_wanted_after` and
    withdrawn after `withdraw_after`. After it recovers, its level is raised only when it has been
    ready for `well_after`; this hysteresis prevents flapping.
    """

    less_wanted_after: Time = 0
    withdraw_after: Time = 2 * SECOND
    well_after: Time = SECOND
    med: Number = 1_000
    prepend: PrependCount = 3

    def faults(self) -> list[tuple[str, str]]:
        """Returns the invalid keywords, each with the expected value."""
        if self.withdraw_after < self.less_wanted_after:
            return [("withdraw-after", "at least less-wanted-after")]
        return []


class LastResort(Struct, frozen=True, kw_only=True):
    """Settings for announcing a sick node instead of withdrawing it, so that every other node is
    preferred to it.
    """

    med: Number = 4_294_967_295
    prepend: PrependCount = 10


class Restart(Struct, frozen=True, kw_only=True):
    """Settings of graceful restart (RFC 4724).

    After a lost session, peers retain our routes for `time`, and we retain theirs for at most
    `stale`.
    """

    time: Annotated[int, unit("duration", ge=SECOND, le=4095 * SECOND)] = 10 * SECOND
    stale: Annotated[int, unit("duration", ge=SECOND, le=4095 * SECOND)] = 30 * SECOND


class Match(Struct, frozen=True, kw_only=True):
    """One entry of a prefix list: `permit 192.0.2.0/24 ge 24 le 32`."""

    ARGUMENTS: ClassVar = ("prefix",)
    INLINE: ClassVar = ("ge", "le")
    prefix: Annotated[object, unit("prefix")]
    ge: Annotated[int, Meta(ge=0, le=128)] | None = None
    le: Annotated[int, Meta(ge=0, le=128)] | None = None

    def faults(self) -> list[tuple[str, str]]:
        """Returns the invalid keywords, each with the expected value."""
        assert isinstance(self.prefix, Prefix)
        width = WIDTH[self.prefix.afi]
        low = self.prefix.length if self.ge is None else self.ge
        high = low if self.le is None else self.le
        if not self.prefix.length <= low <= width:
            return [("ge", f"{self.prefix.length} to {width}")]
        if not low <= high <= width:
            return [("le", f"{low} to {width}")]
        return []


class PrefixList(Struct, frozen=True, kw_only=True):
    """A prefix list; the first matching entry decides."""

    ARGUMENTS: ClassVar = ("name",)
    # Keywords of the entries, each with whether the entry permits; the order of entries matters.
    ORDERED: ClassVar = {
        "permit": True,
        "deny": False,
    }
    name: str
    lines: tuple[tuple[bool, Match], ...] = ()  # entries with whether they permit


class Term(Struct, frozen=True, kw_only=True):
    """One term of a policy.

    The term applies to a route that meets the conditions `prefix_list` to `longest_path`; an absent
    condition is met by every route. The other fields say how an accepted route is changed.
    """

    ARGUMENTS: ClassVar = ("verdict",)
    verdict: Annotated[str, Meta(pattern="^(accept|reject)$")]
    prefix_list: str | None = None
    community: Community | None = None
    as_in_path: Asn | None = None
    longest_path: Annotated[int, Meta(ge=0, le=255)] | None = None  # maximum AS path length
    set_local_preference: Number | None = None
    set_med: Number | None = None
    prepend: PrependCount = 0
    add_communities: Annotated[tuple[Community, ...], unit("words")] = ()
    remove_communities: Annotated[tuple[Community, ...], unit("words")] = ()


class Policy(Struct, frozen=True, kw_only=True):
    """A policy; the first term that applies to a route decides."""

    ARGUMENTS: ClassVar = ("name",)
    name: str
    term: tuple[Term, ...] = ()


class Peer(Struct, frozen=True, kw_only=True):
    """A BGP peer."""

    ARGUMENTS: ClassVar = ("address",)
    address: Annotated[tuple[str, int], unit("endpoint")]
    as_: Annotated[int, Meta(ge=1, le=4_294_967_295, extra={"keyword": "as"})]
    # Whether we open the connection (active), the peer does (passive), or either side.
    mode: Annotated[str, Meta(pattern="^(active|passive|both)$")] = "active"
    connect_retry: Annotated[int, unit("duration", ge=SECOND // 100, le=3600 * SECOND)] = 5 * SECOND
    hold_time: Annotated[int, unit("duration", ge=0, le=65_535 * SECOND)] | None = None
    delay_open: Time = 0
    # Idle hold time after a failure; it doubles with each further one.
    idle_hold: Annotated[int, unit("duration", ge=SECOND // 100, le=3600 * SECOND)] = SECOND
    # Received prefixes of both address families; beyond the limit, the session is ended.
    max_prefixes: Annotated[int, Meta(ge=1, le=4_000_000)] = 1_000
    import_: Annotated[str | None, Meta(extra={"keyword": "import"})] = None
    export: str | None = None
    role: Annotated[str, Meta(pattern="^(provider|rs|rs-client|customer|peer)$")] | None = None
    strict_role: bool = False
    extended_messages: bool = True
    next_hop: Address | None = None
    local_address: Address | None = None  # source address of connections to this peer

    def faults(self) -> list[tuple[str, str]]:
        """Returns the invalid keywords, each with the expected value."""
        found = hold_faults(self.hold_time)
        if self.strict_role and self.role is None:
            found.append(("strict-role", "a role in the same block"))
        return found

    @property
    def name(self) -> str:
        """`address:port`, with an IPv6 address in brackets."""
        host, port = self.address
        return f"{host}:{port}" if ":" not in host else f"[{host}]:{port}"


class BgpConfig(Struct, frozen=True, kw_only=True):
    """The `announce` block."""

    as_: Annotated[int, Meta(ge=1, le=4_294_967_295, extra={"keyword": "as"})]
    router_id: Annotated[str, unit("ipv4")]
    next_hop: Address | None = None
    listen: Annotated[tuple[str, int], unit("endpoint")] | None = None
    socket: str | None = None  # path of the admin socket, used by `lilacwalk bgp`
    service: tuple[Service, ...] = ()
    ready_for: Time = SECOND // 5  # time for which a node must be ready before it is announced
    hold_time: Annotated[int, unit("duration", ge=0, le=65_535 * SECOND)] = 9 * SECOND
    graceful_shutdown: Time = SECOND // 10  # time at lower preference before a drain's withdrawal
    propagation: Time = 3 * SECOND // 10  # between the withdrawal and the closing of the listener
    shutdown_text: Annotated[str, Meta(max_length=128)] = "drained"
    damping: Damping = Damping()
    sick: Sick = Sick()
    last_resort: LastResort | None = None
    graceful_restart: Restart | None = None
    prefix_list: tuple[PrefixList, ...] = ()
    policy: tuple[Policy, ...] = ()
    peer: tuple[Peer, ...] = ()

    def faults(self) -> list[tuple[str, str]]:
        """Returns the invalid keywords, each with the expected value."""
        found = hold_faults(self.hold_time)
        for kind, names in (
            ("service", [each.prefix for each in self.service]),
            ("peer", [each.address for each in self.peer]),
            ("prefix-list", [each.name for each in self.prefix_list]),
            ("policy", [each.name for each in self.policy]),
        ):
            found += [
                (kind, f"{name if isinstance(name, str | Prefix) else name[0]} once, not twice")
                for name, times in Counter(names).items()
                if times > 1
            ]
        lists, policies = (
            {each.name for each in group} for group in (self.prefix_list, self.policy)
        )
        found += [
            ("policy", f"a prefix-list {term.prefix_list}, which is not in the file")
            for each in self.policy
            for term in each.term
            if term.prefix_list not in lists | {None}
        ]
        found += [
            ("peer", f"a policy {name}, which is not in the file")
            for each in self.peer
            for name in (each.import_, each.export)
            if name not in policies | {None}
        ]
        for each in self.service:
            hop = each.next_hop or self.next_hop
            assert isinstance(each.prefix, Prefix)
            if hop is None or (":" in hop) != (each.prefix.afi == Afi.IPV6):
                found.append(("service", f"a next-hop of {each.prefix}'s own family"))
        hosts = [each.address[0] for each in self.peer if each.mode != "active"]
        found += [
            ("peer", f"only one peer at {host} with mode passive or both")
            for host, times in Counter(hosts).items()
            if times > 1
        ]
        if self.listen is None and any(each.mode != "active" for each in self.peer):
            found.append(("listen", "an address to listen on, since a peer is passive or both"))
        return found


def hold_faults(time: int | None) -> list[tuple[str, str]]:
    """Returns the error of a hold time in the form of `faults`, or an empty list if it is valid.

    RFC 4271 section 4.2 allows zero or at least three seconds; the message field holds whole
    seconds.
    """
    if time is not None and (0 < time < 3 * SECOND or time % SECOND):
        return [("hold-time", "0s, or whole seconds from 3s on")]
    return []
