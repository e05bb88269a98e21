"""Tests of routes by host and path prefix."""

import hypothesis
from hypothesis import strategies

from medlardoor.config import routes


def _route(prefix, host=b"shop.example", priority=0):
    return routes.Route(
        name=prefix.decode(),
        host=host,
        path_prefix=prefix,
        idempotent=True,
        objective_s=1.0,
        timeout_s=2.0,
        priority=priority,
        max_attempts=2,
        destinations=(routes.Destination("stock"),),
    )


def _table(*found):
    document = routes.RouteDocument(1, found, {}, routes.ConnectionLimits())
    return routes.RouteTable(document)


def test_longest_prefix_wins():
    """A request must use the route with the longest matching prefix."""
    table = _table(_route(b"/a/"), _route(b"/a/b/"), _route(b"/"))
    assert table.find(b"shop.example", b"/a/b/c").name == "/a/b/"
    assert table.find(b"shop.example", b"/a/bc").name == "/a/"
    assert table.find(b"shop.example", b"/x").name == "/"


def test_query_is_not_part_of_the_path():
    """A slash in the query must not affect the selected route."""
    table = _table(_route(b"/a/"), _route(b"/a/b?c/"))
    assert table.find(b"shop.example", b"/a/b?c/d").name == "/a/"


def test_host_is_compared_without_case_and_port():
    """The case and the port of the Host header must not affect the match."""
    table = _table(_route(b"/a/"))
    assert table.find(b"Shop.Example:80", b"/a/") is not None
    assert table.find(b"other.example", b"/a/") is None


def test_path_without_prefix_has_no_route():
    """A request that matches no route must not be forwarded."""
    table = _table(_route(b"/a/"))
    assert table.find(b"shop.example", b"/a") is None
    assert table.find(b"shop.example", b"*") is None


def test_least_urgent_priority():
    """The largest priority value must be reported as least urgent."""
    table = _table(_route(b"/a/", priority=2), _route(b"/b/", priority=0))
    assert table.max_importance == 2


def test_lookup_reads_no_more_than_prefixes_share():
    """One path of separators stopped its node: each prefix of it was copied."""

    class Path(bytes):
        copied_bytes = 0

        def partition(self, separator):
            return self, b"", b""

        def __getitem__(self, index):
            part = super().__getitem__(index)
            Path.copied_bytes += len(part)
            return part

    table = _table(_route(b"/a/"), _route(b"/a/b/"), _route(b"/"))
    path = Path(b"/a/b" + b"/" * 15_400)
    assert table.find(b"shop.example", path).name == "/a/b/"
    assert Path.copied_bytes <= len(path)


@hypothesis.given(
    found=strategies.sets(
        strategies.lists(strategies.sampled_from(["", "a", "b"]), max_size=4)
        .map(lambda parts: "".join(f"{part}/" for part in parts))
        .map(lambda text: f"/{text}".encode()),
        max_size=6,
    ),
    path=strategies.text("ab/?", max_size=8).map(str.encode),
)
def test_lookup_equals_that_of_each_prefix(found, path):
    """A path with empty segments selects another route than its prefix."""
    table = _table(*(_route(prefix) for prefix in sorted(found)))
    route = table.find(b"shop.example", path)
    matching = [p for p in found if path.partition(b"?")[0].startswith(p)]
    wanted = max(matching, key=len, default=None)
    assert (None if route is None else route.path_prefix) == wanted
