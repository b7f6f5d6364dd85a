"""Starts and ends processes; ends only those that it started."""

import os
import pathlib
import signal
import subprocess
import time

CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
STOP_TIMEOUT_S = 5


class ProcessGroup:
    """Processes by name. Leaving the context ends all of them."""

    def __init__(self, log_folder):
        self._log_folder = pathlib.Path(log_folder)
        self._log_folder.mkdir(parents=True, exist_ok=True)
        self._processes = {}

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.stop_all()

    def start(self, name, command):
        """Starts a command; its output goes to NAME.log."""
        with (self._log_folder / f"{name}.log").open("ab") as log:
            process = subprocess.Popen(
                [str(word) for word in command], stdin=subprocess.DEVNULL,
                stdout=log, stderr=subprocess.STDOUT, start_new_session=True)
        self._processes[name] = process
        return process

    def signal(self, name, number):
        """Sends a signal to one process."""
        self._processes[name].send_signal(number)

    def wait(self, name, timeout_s):
        """Waits for the end of a process; its exit code."""
        return self._processes[name].wait(timeout_s)

    def is_running(self, name):
        """True if the process has been started and has not ended."""
        process = self._processes.get(name)
        return process is not None and process.poll() is None

    def ended(self):
        """Names and exit codes of the processes that have ended."""
        return {name: process.returncode
                for name, process in self._processes.items()
                if process.poll() is not None}

    def cpu_s(self, name):
        """Processor seconds that the process has used; 0 if it ended."""
        try:
            pid = self._processes[name].pid
            text = pathlib.Path(f"/proc/{pid}/stat").read_text()
        except OSError:
            return 0.0
        fields = text.rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS

    def rss_mb(self, name):
        """Resident memory of the process in MB; 0 if it ended."""
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
        """Continues and terminates every process, then kills what is left.

        Interrupts are ignored meanwhile, so that nothing stays behind.
        """
        signal.signal(signal.SIGINT, signal.SIG_IGN)
        try:
            self._stop_alive()
        finally:
            signal.signal(signal.SIGINT, signal.default_int_handler)

    def _stop_alive(self):
        alive = [p for p in self._processes.values() if p.poll() is None]
        for process in alive:
            process.send_signal(signal.SIGCONT)
            process.terminate()
        end = time.monotonic() + STOP_TIMEOUT_S
        for process in alive:
            try:
                process.wait(max(0.01, end - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()


def raise_on_signals():
    """Turns SIGTERM into an exception, so that contexts are left."""
    def stop(number, _):
        raise KeyboardInterrupt(f"signal {number}")
    signal.signal(signal.SIGTERM, stop)
