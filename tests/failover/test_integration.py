"""Failover between three sites of real app server processes, with executors, BGP and clients."""

import signal
import time

import pytest

from lilacwalk.bgp.prefixes import Prefix
from lilacwalk.protocols.admin_socket import query
from lilacwalk.testing.scenario import play, read
from lilacwalk.testing.site_outage import SITES, Outage, service_prefix

MAX_WAIT = 20.0  # seconds; a longer wait fails the test


@pytest.fixture
def make_outage():
    outages = []

    def make(**more):
        options = {
            "nodes_per_site": 2,
            "run_time": 0.02,
            "load": 0.4,
            "interval_ms": 100,
            "route_delay": 0.1,
        }
        outages.append(Outage(**(options | more)))
        outages[-1].start()
        return outages[-1]

    yield make
    for outage in outages:
        outage.end()


def announced_nodes(outage, site):
    """Returns the nodes of a site that announce the site's service."""
    prefix = Prefix.of(service_prefix(site))
    return {
        name
        for name, router in outage.routers.items()
        if prefix in router.routes and name[0] == site[0]
    }


def describe_sites(outage, name):
    return query(outage.process_fleet.processes[name].socket, "sites")


def stage_in_view(outage, name, site):
    """Returns the recovery stage of a site as the node `name` sees it."""
    return {each["site"]: each["stage"] for each in describe_sites(outage, name)["sites"]}[site]


def test_clients_of_a_failed_site_are_served_elsewhere_until_it_recovers(make_outage):
    outage = make_outage()
    outage.power_off("recife")
    outage.process_fleet.wait(
        lambda: outage.failover_nodes("recife"), MAX_WAIT, "failover nodes chosen"
    )
    first_second = int(outage.now) + 2
    outage.process_fleet.wait(
        lambda: outage.now > first_second + 2, MAX_WAIT, "two full seconds measured"
    )
    counts = outage.counts_by_second["recife"][first_second]
    assert sum(counts.completed.values()) > 0.8 * sum(counts.offered.values())
    outage.bring_back("recife")
    outage.process_fleet.wait(
        lambda: len(announced_nodes(outage, "recife")) == 2 and not outage.failover_nodes("recife"),
        MAX_WAIT,
        "service restored",
    )
    outage.process_fleet.wait(
        lambda: stage_in_view(outage, "c0", "recife") == "whole", MAX_WAIT, "site healthy"
    )
    assert outage.count_duplicate_effects() == 0


def test_a_recovering_site_announces_one_node_first_and_all_only_when_healthy(make_outage):
    outage = make_outage()
    outage.power_off("recife")
    outage.process_fleet.wait(
        lambda: outage.failover_nodes("recife"), MAX_WAIT, "failover nodes chosen"
    )
    outage.bring_back("recife")
    announced_counts = []

    def is_recovered():
        announced_count = len(announced_nodes(outage, "recife"))
        if not announced_counts or announced_counts[-1] != announced_count:
            announced_counts.append(announced_count)
        return announced_count == 2 and stage_in_view(outage, "c0", "recife") == "whole"

    outage.process_fleet.wait(is_recovered, MAX_WAIT, "site healthy, all nodes announced")
    assert announced_counts[:3] == [0, 1, 2]


def test_a_partitioned_site_serves_its_clients_and_takes_no_failover_traffic(make_outage):
    """Only membership datagrams are blocked; clients and BGP sessions are not affected."""
    outage = make_outage()
    recife = [name for name in outage.process_fleet.processes if name[0] == "r"]
    others = [name for name in outage.process_fleet.processes if name[0] != "r"]
    outage.process_fleet.cut(recife, others)
    outage.process_fleet.wait(
        lambda: all(
            outage.process_fleet.show(name)["conclusion"] in ("minority", "alone")
            for name in recife
        ),
        MAX_WAIT,
        "partition detected by the smaller side",
    )
    outage.process_fleet.wait(
        lambda: stage_in_view(outage, "c0", "recife") == "lost",
        MAX_WAIT,
        "failure detected elsewhere",
    )
    assert all(describe_sites(outage, name)["stands_in_for"] == [] for name in recife)
    # Clients stay: the routes of the site's own nodes are preferred over those of failover nodes.
    assert announced_nodes(outage, "recife") == set(recife)
    first_second = int(outage.now) + 1
    outage.process_fleet.wait(
        lambda: outage.now > first_second + 2, MAX_WAIT, "full seconds measured in the partition"
    )
    counts = outage.counts_by_second["recife"][first_second]
    assert sum(counts.completed.values()) > 0.9 * sum(counts.offered.values())
    assert outage.count_duplicate_effects() == 0


def test_a_disconnected_site_fails_over_and_recovers_when_its_link_is_back(make_outage):
    """Datagrams and BGP stop; the routers remove the site's routes when the hold time expires."""
    outage = make_outage()
    outage.cut_off("recife")
    outage.process_fleet.wait(
        lambda: outage.failover_nodes("recife") and not announced_nodes(outage, "recife"),
        MAX_WAIT,
        "failover nodes chosen",
    )
    assert all(
        describe_sites(outage, name)["stands_in_for"] == []
        for name in outage.process_fleet.processes
        if name[0] == "r"
    )
    outage.cut_off("recife", False)
    outage.process_fleet.wait(
        lambda: len(announced_nodes(outage, "recife")) == 2 and not outage.failover_nodes("recife"),
        MAX_WAIT,
        "service restored",
    )
    outage.process_fleet.wait(
        lambda: stage_in_view(outage, "c0", "recife") == "whole", MAX_WAIT, "site healthy"
    )
    assert outage.count_duplicate_effects() == 0


def test_a_drained_site_is_served_by_failover_nodes_until_an_operator_releases_it(make_outage):
    outage = make_outage()
    query(outage.process_fleet.processes["n0"].socket, "sites drain recife 300")
    outage.process_fleet.wait(
        lambda: outage.failover_nodes("recife") and not announced_nodes(outage, "recife"),
        MAX_WAIT,
        "service moved to failover nodes",
    )
    outage.process_fleet.wait(
        lambda: {stage_in_view(outage, name, "recife") for name in outage.process_fleet.processes}
        == {"held"},
        MAX_WAIT,
        "site held in the view of all nodes",
    )
    query(outage.process_fleet.processes["c1"].socket, "sites release recife 60")
    outage.process_fleet.wait(
        lambda: len(announced_nodes(outage, "recife")) == 2 and not outage.failover_nodes("recife"),
        MAX_WAIT,
        "service restored",
    )


def test_a_site_that_fails_repeatedly_is_excluded_longer(make_outage):
    outage = make_outage()
    exclusion_times = []
    for _ in range(
        3
    ):  # each exclusion is twice as long; only the third exceeds the processes' start-up time
        outage.power_off("recife")
        outage.process_fleet.wait(
            lambda: stage_in_view(outage, "c0", "recife") == "lost", MAX_WAIT, "failure detected"
        )
        restarted_at = time.monotonic()
        outage.bring_back("recife")
        outage.process_fleet.wait(
            lambda: stage_in_view(outage, "c0", "recife") not in ("lost", "probing"),
            MAX_WAIT,
            "recovery started",
        )
        exclusion_times.append(time.monotonic() - restarted_at)
    assert exclusion_times[2] > exclusion_times[0] + 0.5


def test_without_a_sites_block_a_failure_moves_no_traffic(make_outage):
    outage = make_outage(has_plan=False)
    outage.power_off("recife")
    outage.process_fleet.wait(
        lambda: set(outage.process_fleet.healths("r0").values()) == {"dead"},
        MAX_WAIT,
        "failure detected",
    )
    assert "error" in describe_sites(outage, "c0")
    assert not outage.failover_nodes("recife")
    assert {site for site in SITES if announced_nodes(outage, site)} == set(SITES[1:])


def test_a_scenario_with_clients_runs_a_failure_and_a_recovery(tmp_path):
    script = tmp_path / "loss.drill"
    script.write_text(
        "members 6\nusers 20%\nprobe-interval 100ms\nstart all\nlose recife\n"
        "expect stood-in recife within 20s\nexpect stage lost recife within 20s\n"
        "expect service 40% within 20s\nback recife\nexpect stage whole recife within 60s\n"
        "expect home recife within 20s\nhold once\n"
    )
    assert play(read(str(script)), quiet=True)


def test_a_node_with_an_outdated_file_logs_it_and_takes_no_failover_traffic(make_outage):
    outage = make_outage()
    outdated_node = outage.process_fleet.processes["c0"]
    outage.process_fleet.leave("c0")
    outdated_node.extra_statements = outdated_node.extra_statements.replace(
        "headroom 0.05", "headroom 0.2"
    )
    for each in outage.process_fleet.processes.values():
        if each is not outdated_node:
            each.extra_statements = each.extra_statements.replace(
                "sites {\n", "sites {\n    revision 2\n"
            )
            outage.process_fleet.write_operator_file(each)
            each.popen.send_signal(signal.SIGHUP)
    outage.process_fleet.start("c0")
    outage.process_fleet.wait(
        lambda: "event=plan_differs" in outage.process_fleet.log("c0"),
        MAX_WAIT,
        "difference logged",
    )
    outage.process_fleet.wait(
        lambda: describe_sites(outage, "c0").get("yields")
        and not describe_sites(outage, "c1")["yields"],
        MAX_WAIT,
        "only the outdated node yields",
    )
    outage.power_off("recife")
    outage.process_fleet.wait(
        lambda: outage.failover_nodes("recife"), MAX_WAIT, "other failover nodes chosen"
    )
    assert "c0" not in outage.failover_nodes("recife")


def test_a_failover_target_sheds_the_lowest_weight_failover_traffic_first(make_outage):
    outage = make_outage(load=0.75)
    outage.power_off("recife")
    outage.process_fleet.wait(
        lambda: outage.failover_nodes("recife"), MAX_WAIT, "failover nodes chosen"
    )
    first_second = int(outage.now) + 2
    outage.process_fleet.wait(
        lambda: outage.now > first_second + 6,
        MAX_WAIT,
        "full seconds measured with failover traffic",
    )
    failover_denied = outage.denied_ratio(first_second, first_second + 5, "look", ("recife",))
    local_denied = outage.denied_ratio(first_second, first_second + 5, "look", ("caruaru", "natal"))
    assert failover_denied > 0.1
    # Only 1.3 times: local traffic is shed too, since less capacity is left for both.
    assert failover_denied > 1.3 * local_denied
    assert (
        outage.denied_ratio(first_second, first_second + 5, "swap", ("recife",))
        < failover_denied / 2
    )
    failover_node = next(iter(outage.failover_nodes("recife")))
    failover_traffic = describe_sites(outage, failover_node)["guests"]
    assert failover_traffic["active"]
    assert any(flow["from"] == "recife" and flow["turned"] for flow in failover_traffic["flows"])
    outage.bring_back("recife")
    outage.process_fleet.wait(
        lambda: stage_in_view(outage, "c0", "recife") == "whole", MAX_WAIT + 10, "site healthy"
    )
    outage.process_fleet.wait(
        lambda: not describe_sites(outage, failover_node)["guests"]["active"],
        MAX_WAIT,
        "shedding ended",
    )


def test_listeners_for_failover_traffic_are_opened_only_at_start(make_outage):
    outage = make_outage(separates_failover_traffic=False)
    assert "event=failover_listener_started" not in outage.process_fleet.log("c0")
    c0 = outage.process_fleet.processes["c0"]
    c0.extra_statements = c0.extra_statements.replace(
        "        service 192.0.2.10/32\n",
        "        service 192.0.2.10/32\n        guests 127.0.0.1:0\n",
        1,
    )
    outage.process_fleet.write_operator_file(c0)
    c0.popen.send_signal(signal.SIGHUP)
    outage.process_fleet.wait(
        lambda: "changed addresses for failover traffic apply after a restart"
        in outage.process_fleet.log("c0"),
        MAX_WAIT,
        "notice logged",
    )
