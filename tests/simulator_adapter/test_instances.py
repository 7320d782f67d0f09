"""The simulator's adapter: instances in one process do not affect each other."""

from lilacwalk.simulator_adapter.host import NumberedLine, SimulatorHost


def decisions_of(host, at, who, *lines):
    """Processes the lines in one batch; returns the decisions for the instance `who`."""
    numbered = [NumberedLine(number, line) for number, line in enumerate(lines)]
    reply = host.process_batch(at, numbered)
    return [line for line in reply if f"who={who} " in line]


def run_batches(host, who, other_who=None):
    """Processes fixed batches for one instance, and optionally for another in the same host.

    Returns the decisions for the first instance.
    """
    start = (
        "start who={} nonce64=7 replicas_of_me=4 "
        "classes.count=1 classes.0.name=pay classes.0.aim_ms={} "
        "classes.0.hard_limit_ms={} classes.0.effect={} classes.0.dedup_window_ms={} "
        "parties.count=1 "
        "parties.0.name=acme parties.0.allowance_per_s={} family_info.cpus={} "
        "family_info.ram_kb=100000.0 family_info.run_factor=2.0 family_info.stop_mode={} "
        "family_info.advert={} family_info.key_kb=1.0 rules.tip_multiple=4.0 "
        "rules.drain_grace_ms=1000.0 limits.retry_after=1 "
        "limits.max_retry_after_ms={} quantum_ms=2.0"
    )
    own_start = start.format(who, 900.0, 2000.0, "keyed", 5000.0, 40.0, 2, "silent", "bias", 800.0)
    other_start = start.format(
        other_who, 90.0, 200.0, "safe", 0.0, 4000.0, 16, "drop", "tokens", 8.0
    )
    decisions = decisions_of(host, 10.0, who, own_start, *([other_start] if other_who else []))
    for turn in range(1, 120):
        lines, now = [], 10.0 + 25.0 * turn
        for name in (who, other_who) if other_who else (who,):
            if turn % 3:
                earlier_field = f" earlier={turn - 1}" if turn % 3 == 2 else ""
                lines.append(
                    f"incoming who={name} rid={turn} class=pay owner=acme ttl_ms=2000.0 "
                    f"footprint=20.0 neighbour={turn % 5}{earlier_field}"
                )
            if turn > 6:
                lines.append(
                    f"work_done who={name} rid={turn - 6} disposition={100 if turn % 7 else 301}"
                )
            lines.append(f"tick_due who={name} ctx=1 health_info=core_use:0.9,on_cores:3")
        decisions += decisions_of(host, now, who, *lines)
    return decisions


def test_the_decisions_of_an_instance_do_not_depend_on_another_instance():
    host_of_one, host_of_two = SimulatorHost(), SimulatorHost()
    decisions = run_batches(host_of_one, "a")
    assert len(decisions) > 100
    assert any("answer_from" in line for line in decisions)
    assert run_batches(host_of_two, "a", "b") == decisions
