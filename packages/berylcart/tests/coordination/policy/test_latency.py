"""Test the sliding window of latency quantiles."""

from berylcart.coordination.policy.latency import MAX_SERVICES, LatencyTable


def test_samples_expire_after_two_windows(clock):
    table = LatencyTable(window_s=10, clock_s=clock)
    for _ in range(20):
        table.record("model", 500)
    assert table.quantile_ms("model", 0.95, 1) > 450
    clock.now_s = 12
    for _ in range(20):
        table.record("model", 50)
    assert table.quantile_ms("model", 0.95, 1) > 450
    clock.now_s = 25
    for _ in range(20):
        table.record("model", 50)
    assert table.quantile_ms("model", 0.95, 1) < 60


def test_pause_of_two_windows_discards_all_samples(clock):
    table = LatencyTable(window_s=10, clock_s=clock)
    for _ in range(20):
        table.record("model", 500)
    clock.now_s = 100
    assert table.quantile_ms("model", 0.5, 7) == 7


def test_number_of_services_is_bounded():
    table = LatencyTable(clock_s=lambda: 0.0)
    for number in range(MAX_SERVICES + 10):
        table.record(f"service-{number}", 1)
    assert len(table.windows) == MAX_SERVICES
