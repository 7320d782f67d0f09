"""Failover between three sites of real app server processes, with executors, BGP and clients."""

import signal
import time

import pytest

from lilacwalk.bgp.prefixes import Prefix
from lilacwalk.protocols.admin_socket import query
from lilacwalk.testing.scenario import play, read
from lilacwalk.testing.site_outage import SITES, Outage, service_prefix

MAX_WAIT = 20.0  # seconds: the test fails after it


@pytest.fixture
def outage():
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
    for each in outages:
        each.end()


def announced_nodes(outage, site):
    prefix = Prefix.of(service_prefix(site))
    return {
        name
        for name, router in outage.routers.items()
        if prefix in router.routes and name[0] == site[0]
    }


def describe_sites(outage, name):
    return query(outage.process_fleet.processes[name].socket, "sites")


def stage(outage, name, site):
    return {each["site"]: each["stage"] for each in describe_sites(outage, name)["sites"]}[site]


def test_clients_of_a_failed_site_are_served_elsewhere_until_it_recovers(outage):
    fleet = outage()
    fleet.power_off("recife")
    fleet.process_fleet.wait(
        lambda: fleet.failover_nodes("recife"), MAX_WAIT, "failover nodes chosen"
    )
    first_second = int(fleet.now) + 2
    fleet.process_fleet.wait(
        lambda: fleet.now > first_second + 2, MAX_WAIT, "two full seconds measured"
    )
    row = fleet.counts_by_second["recife"][first_second]
    assert sum(row.completed.values()) > 0.8 * sum(row.offered.values())
    fleet.bring_back("recife")
    fleet.process_fleet.wait(
        lambda: len(announced_nodes(fleet, "recife")) == 2 and not fleet.failover_nodes("recife"),
        MAX_WAIT,
        "service restored",
    )
    fleet.process_fleet.wait(
        lambda: stage(fleet, "c0", "recife") == "whole", MAX_WAIT, "site healthy"
    )
    assert fleet.count_duplicate_effects() == 0


def test_a_recovering_site_announces_one_node_first_and_all_only_when_healthy(outage):
    fleet = outage()
    fleet.power_off("recife")
    fleet.process_fleet.wait(
        lambda: fleet.failover_nodes("recife"), MAX_WAIT, "failover nodes chosen"
    )
    fleet.bring_back("recife")
    seen = []

    def is_recovered():
        counts = len(announced_nodes(fleet, "recife"))
        if not seen or seen[-1] != counts:
            seen.append(counts)
        return counts == 2 and stage(fleet, "c0", "recife") == "whole"

    fleet.process_fleet.wait(is_recovered, MAX_WAIT, "site healthy, all nodes announced")
    assert seen[:3] == [0, 1, 2]


def test_a_partitioned_site_serves_its_clients_and_takes_no_failover_traffic(outage):
    """Only membership datagrams are blocked; clients and BGP sessions are not affected."""
    fleet = outage()
    recife = [name for name in fleet.process_fleet.processes if name[0] == "r"]
    others = [name for name in fleet.process_fleet.processes if name[0] != "r"]
    fleet.process_fleet.cut(recife, others)
    fleet.process_fleet.wait(
        lambda: all(
            fleet.process_fleet.show(name)["conclusion"] in ("minority", "alone") for name in recife
        ),
        MAX_WAIT,
        "partition detected by the smaller side",
    )
    fleet.process_fleet.wait(
        lambda: stage(fleet, "c0", "recife") == "lost", MAX_WAIT, "failure detected elsewhere"
    )
    assert all(describe_sites(fleet, name)["stands_in_for"] == [] for name in recife)
    # Clients stay, since routes of the site's own nodes are preferred over those of failover nodes.
    assert announced_nodes(fleet, "recife") == set(recife)
    first_second = int(fleet.now) + 1
    fleet.process_fleet.wait(
        lambda: fleet.now > first_second + 2, MAX_WAIT, "full seconds measured in the partition"
    )
    row = fleet.counts_by_second["recife"][first_second]
    assert sum(row.completed.values()) > 0.9 * sum(row.offered.values())
    assert fleet.count_duplicate_effects() == 0


def test_a_disconnected_site_fails_over_and_recovers_when_its_link_is_back(outage):
    """Datagrams and BGP traffic stop; the routers remove its routes when the hold time expires."""
    fleet = outage()
    fleet.cut_off("recife")
    fleet.process_fleet.wait(
        lambda: fleet.failover_nodes("recife") and not announced_nodes(fleet, "recife"),
        MAX_WAIT,
        "failover nodes chosen",
    )
    assert all(
        describe_sites(fleet, name)["stands_in_for"] == []
        for name in fleet.process_fleet.processes
        if name[0] == "r"
    )
    fleet.cut_off("recife", False)
    fleet.process_fleet.wait(
        lambda: len(announced_nodes(fleet, "recife")) == 2 and not fleet.failover_nodes("recife"),
        MAX_WAIT,
        "service restored",
    )
    fleet.process_fleet.wait(
        lambda: stage(fleet, "c0", "recife") == "whole", MAX_WAIT, "site healthy"
    )
    assert fleet.count_duplicate_effects() == 0


def test_an_operator_drains_a_healthy_site_and_releases_it(outage):
    fleet = outage()
    query(fleet.process_fleet.processes["n0"].socket, "sites drain recife 300")
    fleet.process_fleet.wait(
        lambda: fleet.failover_nodes("recife") and not announced_nodes(fleet, "recife"),
        MAX_WAIT,
        "service moved to failover nodes",
    )
    fleet.process_fleet.wait(
        lambda: {stage(fleet, name, "recife") for name in fleet.process_fleet.processes}
        == {"held"},
        MAX_WAIT,
        "site held in the view of all nodes",
    )
    query(fleet.process_fleet.processes["c1"].socket, "sites release recife 60")
    fleet.process_fleet.wait(
        lambda: len(announced_nodes(fleet, "recife")) == 2 and not fleet.failover_nodes("recife"),
        MAX_WAIT,
        "service restored",
    )


def test_a_site_that_fails_repeatedly_is_excluded_longer(outage):
    fleet = outage()
    exclusion_times = []
    for _ in range(3):  # the exclusion doubles: the third exceeds the start-up time of processes
        fleet.power_off("recife")
        fleet.process_fleet.wait(
            lambda: stage(fleet, "c0", "recife") == "lost", MAX_WAIT, "failure detected"
        )
        restarted_at = time.monotonic()
        fleet.bring_back("recife")
        fleet.process_fleet.wait(
            lambda: stage(fleet, "c0", "recife") not in ("lost", "probing"),
            MAX_WAIT,
            "recovery started",
        )
        exclusion_times.append(time.monotonic() - restarted_at)
    assert exclusion_times[2] > exclusion_times[0] + 0.5


def test_without_a_sites_block_a_failure_moves_no_traffic(outage):
    fleet = outage(has_plan=False)
    fleet.power_off("recife")
    fleet.process_fleet.wait(
        lambda: set(fleet.process_fleet.healths("r0").values()) == {"dead"},
        MAX_WAIT,
        "failure detected",
    )
    assert "error" in describe_sites(fleet, "c0")
    assert not fleet.failover_nodes("recife")
    assert {site for site in SITES if announced_nodes(fleet, site)} == set(SITES[1:])


def test_a_scenario_with_clients_runs_a_failure_and_a_recovery(tmp_path):
    script = tmp_path / "loss.drill"
    script.write_text(
        "members 6\nusers 20%\nprobe-interval 100ms\nstart all\nlose recife\n"
        "expect stood-in recife within 20s\nexpect stage lost recife within 20s\n"
        "expect service 40% within 20s\nback recife\nexpect stage whole recife within 60s\n"
        "expect home recife within 20s\nhold once\n"
    )
    assert play(read(str(script)), quiet=True)


def test_a_node_with_an_outdated_file_logs_it_and_takes_no_failover_traffic(outage):
    fleet = outage()
    outdated_node = fleet.process_fleet.processes["c0"]
    fleet.process_fleet.leave("c0")
    outdated_node.extra_statements = outdated_node.extra_statements.replace(
        "headroom 0.05", "headroom 0.2"
    )
    for each in fleet.process_fleet.processes.values():
        if each is not outdated_node:
            each.extra_statements = each.extra_statements.replace(
                "sites {\n", "sites {\n    revision 2\n"
            )
            fleet.process_fleet.write_operator_file(each)
            each.popen.send_signal(signal.SIGHUP)
    fleet.process_fleet.start("c0")
    fleet.process_fleet.wait(
        lambda: "event=plan_differs" in fleet.process_fleet.log("c0"), MAX_WAIT, "difference logged"
    )
    fleet.process_fleet.wait(
        lambda: describe_sites(fleet, "c0").get("yields")
        and not describe_sites(fleet, "c1")["yields"],
        MAX_WAIT,
        "only the outdated node yields",
    )
    fleet.power_off("recife")
    fleet.process_fleet.wait(
        lambda: fleet.failover_nodes("recife"), MAX_WAIT, "other failover nodes chosen"
    )
    assert "c0" not in fleet.failover_nodes("recife")


def test_a_failover_target_sheds_the_lowest_weight_failover_traffic_first(outage):
    fleet = outage(load=0.75)
    fleet.power_off("recife")
    fleet.process_fleet.wait(
        lambda: fleet.failover_nodes("recife"), MAX_WAIT, "failover nodes chosen"
    )
    first_second = int(fleet.now) + 2
    fleet.process_fleet.wait(
        lambda: fleet.now > first_second + 6,
        MAX_WAIT,
        "full seconds measured with failover traffic",
    )
    failover_denied = fleet.denied_ratio(first_second, first_second + 5, "look", ("recife",))
    local_denied = fleet.denied_ratio(first_second, first_second + 5, "look", ("caruaru", "natal"))
    assert failover_denied > 0.1
    # Only 1.3 times: local traffic is shed too, since less capacity is left for both.
    assert failover_denied > 1.3 * local_denied
    assert (
        fleet.denied_ratio(first_second, first_second + 5, "swap", ("recife",))
        < failover_denied / 2
    )
    name = next(iter(fleet.failover_nodes("recife")))
    failover_traffic = describe_sites(fleet, name)["guests"]
    assert failover_traffic["active"]
    assert any(flow["from"] == "recife" and flow["turned"] for flow in failover_traffic["flows"])
    fleet.bring_back("recife")
    fleet.process_fleet.wait(
        lambda: stage(fleet, "c0", "recife") == "whole", MAX_WAIT + 10, "site healthy"
    )
    fleet.process_fleet.wait(
        lambda: not describe_sites(fleet, name)["guests"]["active"],
        MAX_WAIT,
        "shedding ended",
    )


def test_listeners_for_failover_traffic_are_opened_only_at_start(outage):
    fleet = outage(separates_failover_traffic=False)
    assert "event=failover_listener_started" not in fleet.process_fleet.log("c0")
    c0 = fleet.process_fleet.processes["c0"]
    c0.extra_statements = c0.extra_statements.replace(
        "        service 192.0.2.10/32\n",
        "        service 192.0.2.10/32\n        guests 127.0.0.1:0\n",
        1,
    )
    fleet.process_fleet.write_operator_file(c0)
    c0.popen.send_signal(signal.SIGHUP)
    fleet.process_fleet.wait(
        lambda: "changed addresses for failover traffic apply after a restart"
        in fleet.process_fleet.log("c0"),
        MAX_WAIT,
        "notice logged",
    )
