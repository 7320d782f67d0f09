"""The server's clock."""

from lilacwalk.server.clock import Clock


def test_the_clock_advances_by_elapsed_time_after_the_system_clock_is_set_back():
    # System time and elapsed time in seconds; before the third pair, the system time is set back.
    times = iter([(1_000, 0), (1_001, 1), (400, 2), (401, 3)])
    clocks_ns = [0, 0]

    def read_next_times():
        clocks_ns[:] = [seconds * 10**9 for seconds in next(times)]

    read_next_times()
    clock = Clock(lambda: clocks_ns[0], lambda: clocks_ns[1])
    readings = []
    for _ in range(3):
        read_next_times()
        readings.append(clock.now())
    # The readings are in tenths of a millisecond.
    assert readings == [10_010_000, 10_020_000, 10_030_000]
    assert clock.offset == readings[-1] - clocks_ns[0] // 100_000
