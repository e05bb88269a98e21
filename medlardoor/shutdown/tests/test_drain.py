"""Tests of the planned stop."""

from medlardoor.blackboard import board as board_module
from medlardoor.blackboard import topics
from medlardoor.config import settings as settings_module
from medlardoor.shutdown import drain

PHASE = drain.DrainPhase


def _controller():
    settings = settings_module.NodeSettings(
        environment="test",
        service="order",
        instance="a",
        failure_domain="fd1",
        cluster_key="c" * 16,
        upstream=settings_module.UpstreamSettings(port=1),
    )
    board = board_module.Blackboard("a", "order", "fd1")
    return drain.DrainController(settings, board), board.shutdown


def test_phases_follow_each_other():
    """G6, G7: a stop refuses requests at once, or never ends."""
    controller, topic = _controller()
    assert controller.tick(0, 0, 5.0) is PHASE.SERVING
    assert controller.begin("signal", 10.0)
    assert topic == topics.Shutdown(PHASE.FORWARDING, 10.0, "signal")
    assert controller.tick(0, 0, 12.9) is PHASE.FORWARDING
    assert controller.tick(1, 0, 13.0) is PHASE.REFUSING
    assert controller.tick(0, 1, 20.0) is PHASE.REFUSING
    assert controller.tick(0, 0, 21.0) is PHASE.FINISHED
    assert controller.tick(5, 5, 22.0) is PHASE.FINISHED
    assert topic.since == 21.0


def test_second_signal_has_no_effect():
    """A repeated stop signal aborts requests in progress."""
    controller, topic = _controller()
    controller.begin("upstream", 0.0)
    controller.tick(1, 0, 3.0)
    assert not controller.begin("signal", 4.0)
    assert topic == topics.Shutdown(PHASE.REFUSING, 3.0, "upstream")


def test_stop_ends_at_the_drain_timeout():
    """A request that never ends keeps the process running forever."""
    controller, _ = _controller()
    controller.begin("signal", 0.0)
    phases = [controller.tick(1, 0, float(now)) for now in range(1, 61)]
    assert phases[58] is PHASE.REFUSING
    assert phases[59] is PHASE.FINISHED


def test_pause_does_not_use_up_the_drain_timeout():
    """G7: a node resumed after a pause aborts requests in progress."""
    controller, _ = _controller()
    controller.begin("signal", 0.0)
    controller.tick(1, 0, 1.0)
    assert controller.tick(1, 0, 500.0) is PHASE.REFUSING
    assert controller.tick(1, 0, 501.0) is PHASE.REFUSING
    assert controller.tick(0, 0, 502.0) is PHASE.FINISHED
