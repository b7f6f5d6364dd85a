"""Starts processes and stops those that it started, no others."""

import os
import pathlib
import signal
import subprocess
import time

CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
STOP_TIMEOUT_S = 5


class ProcessGroup:
    """Processes by name. Leaving the context stops all of them."""

    def __init__(self, log_folder):
        self._log_folder = pathlib.Path(log_folder)
        self._log_folder.mkdir(parents=True, exist_ok=True)
        self._processes = {}

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.stop_all()

    def start(self, name, command):
        """Starts a command and appends its output to NAME.log."""
        with (self._log_folder / f"{name}.log").open("ab") as log:
            process = subprocess.Popen(
                [str(word) for word in command], stdin=subprocess.DEVNULL,
                stdout=log, stderr=subprocess.STDOUT, start_new_session=True)
        self._processes[name] = process
        return process

    def signal(self, name, signal_number):
        """Sends a signal to one process."""
        self._processes[name].send_signal(signal_number)

    def wait(self, name, timeout_s):
        """Waits until a process exits and returns its exit code."""
        return self._processes[name].wait(timeout_s)

    def is_running(self, name):
        """Returns True if the process was started and has not exited."""
        process = self._processes.get(name)
        return process is not None and process.poll() is None

    def exit_codes(self):
        """Returns the exit codes of all exited processes, by name."""
        return {name: process.returncode
                for name, process in self._processes.items()
                if process.poll() is not None}

    def cpu_s(self, name):
        """Returns the CPU seconds used by the process; 0 if it has exited."""
        try:
            pid = self._processes[name].pid
            text = pathlib.Path(f"/proc/{pid}/stat").read_text()
        except OSError:
            return 0.0
        fields = text.rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS

    def rss_mb(self, name):
        """Returns the process's resident memory in MB; 0 if it has exited."""
        try:
            pid = self._processes[name].pid
            text = pathlib.Path(f"/proc/{pid}/status").read_text()
        except OSError:
            return 0.0
        for line in text.splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
        return 0.0

    def stop_all(self):
        """Stops every process that still runs.

        Sends SIGCONT, since a paused process can't handle SIGTERM, then
        SIGTERM, and after STOP_TIMEOUT_S SIGKILL. SIGINT is ignored meanwhile,
        so that no process is left running.
        """
        signal.signal(signal.SIGINT, signal.SIG_IGN)
        try:
            self._stop_running()
        finally:
            signal.signal(signal.SIGINT, signal.default_int_handler)

    def _stop_running(self):
        running = [p for p in self._processes.values() if p.poll() is None]
        for process in running:
            process.send_signal(signal.SIGCONT)
            process.terminate()
        deadline = time.monotonic() + STOP_TIMEOUT_S
        for process in running:
            try:
                process.wait(max(0.01, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()


def raise_on_signals():
    """Turns SIGTERM into KeyboardInterrupt, so that contexts are exited."""
    def stop(signal_number, _):
        raise KeyboardInterrupt(f"signal {signal_number}")
    signal.signal(signal.SIGTERM, stop)
