"""The whole path in separate processes: stand-ins, six entry VMs, balancer, command line."""

import gevent
from fleet_calls import assert_response_matches, send

from bench.load import read_ledger


def test_stock_check_returns_its_own_answer(guild_fleet):
    body = b'{"item": "black plumes", "count": 12}'
    reply = send(guild_fleet, "/plume-desk/stock", "undertakers", body, key="stock-1")
    answer = assert_response_matches(reply, body, "stock-1")
    assert answer.answered_by.startswith("executor-")


def test_forecast_gang_of_8_returns_its_own_answer(waschplan_fleet):
    body = b'{"hall": "north", "run_s": 0.3}'
    reply = send(waschplan_fleet, "/booking/forecast", "student-halls", body, key="forecast-1")
    answer = assert_response_matches(reply, body, "forecast-1")
    assert answer.answered_by.startswith("worker-")
    rows = [row for row in read_ledger(waschplan_fleet) if row.key == "forecast-1"]
    assert [(row.rank, row.size) for row in rows] == [(0, 1)]


def test_gang_over_two_workers_of_a_rack_runs_whole(guild_fleet):
    body = b'{"run_s": 0.3}'
    reply = send(guild_fleet, "/plume-desk/outlook", "undertakers", body, key="outlook-1")
    assert_response_matches(reply, body, "outlook-1")
    rows = [row for row in read_ledger(guild_fleet) if row.key == "outlook-1"]
    assert sorted((row.rank, row.size) for row in rows) == [(0, 2), (1, 2)]


def test_mixed_callers_each_get_their_own_answer(guild_fleet):
    def call(number):
        key = f"mixed-{number}"
        body = f'{{"n": {number}, "run_s": 0.05}}'.encode()
        path = ("/plume-desk/stock", "/plume-desk/order", "/plume-desk/match")[number % 3]
        reply = send(guild_fleet, path, "undertakers", body, key=key)
        assert_response_matches(reply, body, key)

    calls = [gevent.spawn(call, number) for number in range(60)]
    gevent.joinall(calls, raise_error=True)
    keys = [row.key for row in read_ledger(guild_fleet) if row.key.startswith("mixed-")]
    assert len(keys) == len(set(keys)) == 60
