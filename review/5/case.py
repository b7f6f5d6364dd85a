"""LOST: a stopping node takes a request from a connection that it is about to
close, passes it on, and closes the connection without an answer.

Two machines: `entry`, which takes the client's requests, and `board`, beside
whose node the worker runs. The client sends two `safe` requests on one
connection, the second before the first has been answered completely, and reads
slowly. `entry` gets SIGTERM while the worker is at work on the first.
"""

import os
import select
import signal
import sys
import threading
import time

from platform_standin import (ConnectionEnded, HttpReader, await_service,
                              connect, make_config, new_id, request_bytes,
                              run_case)

CLIENTS = 6
FIRST_WORK_S = 0.5
STOP_AFTER_S = 0.2
# From when the first bytes of the first answer wait to be read.
SECOND_AFTER_S = 0.3
READ_AFTER_S = 0.8
# More than the sockets of both ends hold with a small window, so that the answer
# waits for the client to read.
FIRST_BYTES = 100_000


def work(target):
    if target.startswith("/board/first"):
        return FIRST_WORK_S, FIRST_BYTES
    return 0.02, 400


def play(record, deployment, has_trouble):
    entry, entry_worker = deployment.add("entry", "desk", work)
    board, worker = deployment.add("board", "board", work)
    deployment.store.put_operator("op/config", make_config(3, [
        ("/board/", "safe", "board", 5000, 2),
        ("/ready/", "safe", "board", 2000, 2)]))
    for node in deployment.nodes:
        node.start()
    time.sleep(0.5)
    entry_worker.start_beats(entry.control)
    worker.start_beats(board.control)
    await_service(record, deployment, entry.outbound, "/ready/a")
    # No start of a process within stableWindowMs (3 s) before the requests.
    time.sleep(4.0)
    results = []

    def one():
        first, second = new_id(), new_id()
        got = {first: None, second: None}
        with connect(entry.outbound, has_small_window=True) as connection:
            start = time.monotonic()
            record(f"client: sends GET /board/first id={first}")
            connection.sendall(
                request_bytes("GET", "/board/first", first, 5000))
            # The client has not read anything of the first answer, and so not
            # its `Connection: close`, when it sends the second request.
            select.select([connection], [], [], 4.0)
            begun = time.monotonic()
            time.sleep(SECOND_AFTER_S)
            record(f"client: sends GET /board/second id={second} behind it")
            connection.sendall(
                request_bytes("GET", "/board/second", second, 5000))
            time.sleep(max(0.0, begun + READ_AFTER_S - time.monotonic()))
            reader = HttpReader(connection)
            ended = None
            try:
                for request in (first, second):
                    line, headers, body = reader.read_message()
                    got[request] = int(line.split(" ")[1])
                    record(f"client: id={request} is answered {line}, "
                           f"{len(body)} bytes, Connection "
                           f"{headers.get('connection', 'kept')}")
            except (ConnectionEnded, OSError) as cause:
                ended = cause
            took = time.monotonic() - start
            if ended is not None:
                record(f"client: the connection ends: {ended}")
            results.append((first, second, got, took))

    clients = [threading.Thread(target=one) for _ in range(CLIENTS)]
    for client in clients:
        client.start()
    if has_trouble:
        time.sleep(STOP_AFTER_S)
        entry.signal(signal.SIGTERM)
    for client in clients:
        client.join()
    if len(results) != CLIENTS or any(
            got[first] != 200 for first, _, got, _ in results):
        raise RuntimeError("a first request was not served")
    faults = []
    for first, second, got, took in results:
        runs = worker.runs_of(second)
        if got[second] is None and runs and took < 5.0:
            faults.append(
                f"LOST: id={second} was read, passed on to its worker, which "
                f"ran it, and the connection ended without an answer to it")
    return faults


if __name__ == "__main__":
    sys.exit(run_case(play, os.path.dirname(os.path.abspath(__file__))))
