"""Tests of the HTTP listener for metrics: its answers, and what its clients can't take."""

import gc
import socket
import threading
import time
import urllib.request
from collections.abc import Iterator

import pytest
from prometheus_client import CollectorRegistry, Gauge

from burlloom.metrics import http_endpoint
from burlloom.metrics.http_endpoint import MetricsEndpoint

TIMEOUT_S = 20.0


@pytest.fixture
def endpoint() -> Iterator[MetricsEndpoint]:
    registry = CollectorRegistry()
    Gauge("burlloom_answer", "an answer", registry=registry).set(42)
    served = MetricsEndpoint(registry, ("127.0.0.1", 0))
    yield served
    served.close()
    assert not served.thread.is_alive()


def connect(endpoint: MetricsEndpoint) -> socket.socket:
    return socket.create_connection(("127.0.0.1", endpoint.port), timeout=TIMEOUT_S)


def read_to_end(sock: socket.socket) -> bytes:
    data = b""
    try:
        while piece := sock.recv(1 << 16):
            data += piece
    except ConnectionError:
        pass
    return data


def scrape(endpoint: MetricsEndpoint, accept: str = "*/*") -> tuple[str, bytes]:
    url = f"http://127.0.0.1:{endpoint.port}/metrics"
    request = urllib.request.Request(url, headers={"Accept": accept})
    with urllib.request.urlopen(request, timeout=TIMEOUT_S) as response:
        return response.headers["Content-Type"], response.read()


def test_a_scrape_gets_the_metrics_in_the_format_that_it_accepts(endpoint: MetricsEndpoint) -> None:
    content_type, text = scrape(endpoint)
    assert content_type.startswith("text/plain") and b"burlloom_answer 42.0\n" in text
    content_type, text = scrape(endpoint, "application/openmetrics-text; version=1.0.0")
    assert content_type.startswith("application/openmetrics-text") and text.endswith(b"# EOF\n")


def test_other_requests_get_an_answer(endpoint: MetricsEndpoint) -> None:
    with connect(endpoint) as sock:
        sock.sendall(b"POST /metrics HTTP/1.1\r\n\r\n")
        assert read_to_end(sock).startswith(b"HTTP/1.1 405 ")
    with connect(endpoint) as sock:
        sock.sendall(b"\xff\x00\r\n\r\n")
        assert read_to_end(sock).startswith(b"HTTP/1.1 405 ")


@pytest.mark.parametrize("line", [b"a: b\r\n", b"a: " + b"b" * 60000 + b"\r\n", b"b" * 9000])
def test_a_head_without_an_end_is_cut_off(endpoint: MetricsEndpoint, line: bytes) -> None:
    """Guards against picture (a) of issue 59: heads of clients filled the memory."""
    with connect(endpoint) as sock:
        sock.sendall(b"GET /metrics HTTP/1.1\r\n")
        sent_bytes = 0
        try:
            while sent_bytes < 64 << 20:
                sock.sendall(line)
                sent_bytes += len(line)
        except ConnectionError:
            pass
        # What the kernel's buffers on both sides take is not the endpoint's.
        assert sent_bytes < 16 << 20
    assert b"burlloom_answer" in scrape(endpoint)[1]


def test_hundreds_of_silent_clients_take_neither_threads_nor_connections(
    endpoint: MetricsEndpoint,
) -> None:
    """Guards against picture (a) of issue 59: each connected client held a thread for good."""
    threads = threading.active_count()
    socks = [connect(endpoint) for _ in range(300)]
    for sock in socks:
        sock.sendall(b"GET /metrics HTTP/1.1\r\na: b\r\n")
    assert b"burlloom_answer" in scrape(endpoint)[1]
    assert threading.active_count() == threads
    assert len(endpoint.connections) <= http_endpoint.MAX_CONNECTIONS
    for sock in socks:
        assert read_to_end(sock) == b""
        sock.close()


def test_a_close_leaves_no_task_behind(caplog: pytest.LogCaptureFixture) -> None:
    endpoint = MetricsEndpoint(CollectorRegistry(), ("127.0.0.1", 0))
    socks = [connect(endpoint) for _ in range(5)]
    for sock in socks:
        sock.sendall(b"GET /metrics")
    while len(endpoint.connections) < len(socks):
        time.sleep(0.001)
    endpoint.close()
    gc.collect()
    assert not endpoint.thread.is_alive()
    assert not caplog.records
    for sock in socks:
        assert read_to_end(sock) == b""
        sock.close()


def test_the_address_must_be_free(endpoint: MetricsEndpoint) -> None:
    with pytest.raises(OSError, match="in use"):
        MetricsEndpoint(endpoint.registry, ("127.0.0.1", endpoint.port))
