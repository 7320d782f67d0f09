"""Tracking of the activity and timeouts of clients.

Times are in tenths of a millisecond.
"""


def test_an_attempt_with_an_unusual_timeout_is_rejected_as_too_late(host):
    """The last attempt of a request is sent with the remainder of its class's timeout.

    Nothing else shows that the client has already spent time on other servers. Without this check
    the attempt would be executed although its response is too late.
    """
    for ttl in [12_000, 16_000] * 10:  # the client's two usual timeouts
        host.finish(host.receive(ttl=ttl))
    late_attempt = host.receive(ttl=18_500)  # 11,500 of 30,000 have passed; the objective is 10,000
    assert host.responses(late_attempt) == ["reject"]
    assert len(host.decisions("reject")) == 1
    assert host.do_not_retry_elsewhere[late_attempt] is True  # too late on any server
    assert not host.responses(host.receive(ttl=28_000))  # 2,000 have passed: in time
    for client in range(5, 15):  # one request each, so that their timeouts are counted together
        host.finish(host.receive(ttl=12_000, client=client))
    assert host.responses(host.receive(ttl=18_500, client=20)) == ["reject"]


def test_timeouts_of_inactive_clients_are_removed(host):
    for client in range(200):
        host.receive(client=client)
        host.receive(client=client)
    host.wait(600_000)
    assert not [key for key in host.controller.parts.clients.timeout_counts if key[0] is not None]
