"""The server's clock."""

from lilacwalk.server.clock import Clock


def test_the_clock_advances_by_elapsed_time_after_the_system_clock_is_set_back():
    # system time and elapsed time in seconds
    times = iter([(1_000, 0), (1_001, 1), (400, 2), (401, 3)])
    now = [0, 0]

    def step():
        now[:] = [each * 10**9 for each in next(times)]

    step()
    clock = Clock(lambda: now[0], lambda: now[1])
    readings = []
    for _ in range(3):
        step()
        readings.append(clock.now())
    assert readings == [10_010_000, 10_020_000, 10_030_000]
    assert clock.offset == readings[-1] - now[0] // 100_000
