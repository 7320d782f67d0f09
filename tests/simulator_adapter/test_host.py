"""A server that is run through the simulator adapter, line by line."""

import pytest

from lilacwalk.simulator_adapter.host import NumberedLine, SimulatorHost


@pytest.mark.parametrize("effect", ["unsafe", "odd"])
def test_each_request_is_answered_once_by_a_server_without_load_reports_and_cancellation(effect):
    """Some deployments have such settings; clients then choose a server by its health alone."""
    host = SimulatorHost()

    def process(time_ms, *lines):
        numbered = [NumberedLine(number, text) for number, text in enumerate(lines)]
        return host.process_batch(time_ms, numbered)

    replies = process(
        0.0,
        "start who=s nonce64=5 replicas_of_me=14 classes.count=2 classes.0.name=read "
        "classes.0.aim_ms=1800.0 classes.0.hard_limit_ms=4600.0 classes.0.effect=safe "
        "classes.0.worth=1.0 classes.1.name=publish classes.1.aim_ms=1800.0 "
        f"classes.1.hard_limit_ms=4600.0 classes.1.effect={effect} classes.1.worth=10.0 "
        "classes.1.write=true family_info.cpus=2 family_info.ram_kb=9000.0 "
        "family_info.run_factor=16.0 family_info.stop_mode=silent "
        "family_info.advert=silent family_info.readiness=true feedback.how=piggyback "
        "rules.tip_multiple=8.0 rules.drain_grace_ms=2000.0 rules.answer_slack_ms=80.0",
    )
    decision_names = set()
    final_responses = {}
    dispatched = set()
    timer_line = "tick_due who=s ctx=1 health_info=core_use:1.0,on_cores:4"
    for turn in range(1, 400):
        lines = [
            f"incoming who=s rid={turn}x{client} class={('read', 'publish')[client % 2]} "
            f"ttl_ms=900.0 footprint=20.0 neighbour={client} write={client % 2}"
            for client in range(4)
            if turn < 360
        ]
        finished = (
            []
            if turn % 6
            else [rid for rid in sorted(dispatched) if rid not in final_responses][:1]
        )
        lines += [f"work_done who=s rid={rid} disposition=100 lag_ms=300.0" for rid in finished]
        final_responses |= dict.fromkeys(finished, "done")
        for reply in replies + process(25.0 * turn, *lines, timer_line):
            name, _, *fields = reply.split(" ")
            rid = fields[0].removeprefix("rid=") if fields else ""
            decision_names.add(name)
            if name == "serve":
                assert rid not in dispatched
                assert rid not in final_responses
                dispatched.add(rid)
            elif name in ("refuse", "abort"):
                assert rid not in final_responses
                # Only reads, which clients 0 and 2 send, may be refused after their dispatch.
                assert name == "abort" or rid not in dispatched or rid.endswith(("x0", "x2"))
                final_responses[rid] = name
        replies = []
    assert not decision_names & {"signal", "abort_work", "go_on", "answer_from"}
    assert len(final_responses) == 4 * 359
    assert set(final_responses.values()) == {"done", "refuse", "abort"}
