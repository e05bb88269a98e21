"""Tests of path levels."""

from medlardoor.blackboard import board as board_module
from medlardoor.routing import path as path_module


def test_refused_kind_probes_without_reports():
    """An entry node keeps refusing until a level expires, though it fell."""
    board = board_module.Blackboard("order-1", "order", "a")
    controller = path_module.PathController(board)
    assert controller.admits("stock", 0, 0.0)
    controller.observe("inventory", "stock", 700, 0.0)
    assert controller.admits("stock", 700, 0.1)
    assert not controller.admits("stock", 100, 0.1)
    assert controller.admits("stock", 100, 0.3)
    assert not controller.admits("stock", 100, 0.4)
    # The response to the probe reports the same level.
    controller.observe("inventory", "stock", 700, 0.5)
    assert not controller.admits("stock", 100, 0.6)
    assert controller.admits("stock", 100, 0.8)


def test_level_holds_and_falls():
    """A burst of calls reaches a service when its last level expires."""
    board = board_module.Blackboard("order-1", "order", "a")
    controller = path_module.PathController(board)
    controller.observe("inventory", "stock", 200, 0.0)
    controller.observe("calculator", "stock", 90, 0.0)
    assert controller.level_for("stock", 1.0) == 200
    assert controller.level_for("order", 1.0) == 0
    falling = [controller.level_for("stock", 1 + i / 10) for i in range(10)]
    assert falling == sorted(falling, reverse=True)
    assert controller.level_for("stock", 2.0) == 0
    assert board.paths.levels == {}
