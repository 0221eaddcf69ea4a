"""The service times of a stand-in backend server depend on its seed and its options."""

from __future__ import annotations

from berylspindle_model.snapshot import Snapshot
from berylspindle_standins.backend_faults import BackendOptions
from berylspindle_standins.backend_server import BackendServer
from berylspindle_standins.deployments import small


def test_the_same_seed_draws_the_same_service_times() -> None:
    spec = small().servers[0]
    options = BackendOptions(straggler_probability=0.1)
    drawn = [
        [server._service_time() for _ in range(2000)]
        for server in (BackendServer(spec, options, snapshot=Snapshot(1, 1)) for _ in range(2))
    ]
    assert drawn[0] == drawn[1]
    mean_ms = 1000 * sum(drawn[0]) / len(drawn[0])
    expected = options.mean_ms * (1 + 0.1 * (options.straggler_factor - 1))
    assert abs(mean_ms - expected) < 0.15 * expected
