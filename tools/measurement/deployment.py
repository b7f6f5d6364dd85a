"""Deployments: services, upstreams, nodes, their addresses and settings."""

import configparser
import dataclasses
import json
import pathlib

HOST = "127.0.0.1"
# Ports reserved for each upstream and its node.
PORTS_PER_UPSTREAM = 8
# Ports before those of the upstreams, for the platform and the callers'
# control endpoints.
RESERVED_PORTS = 16
PING_ROUTE = {"method": "GET", "path": "/ping", "service_ms": 1,
              "spread": 0, "answer_bytes": 64}
# Backlog of an upstream, in requests per slot; it sheds further requests.
BACKLOG_PER_SLOT = 4
# Service times double when the backlog of an upstream is full.
CONTENTION = 1


@dataclasses.dataclass(frozen=True)
class Service:
    """A service; all its upstreams have the same size."""

    name: str
    upstreams: int
    slots: int
    connections: int
    routes: list

    def service_s(self, path):
        """Returns the mean service time of a route, in seconds."""
        for route in self.routes:
            if route["path"] == path:
                return route["service_ms"] / 1000
        raise KeyError(path)

    def capacity(self, path):
        """Returns the capacity of all upstreams on a route, in requests/s."""
        return self.upstreams * self.slots / self.service_s(path)


@dataclasses.dataclass(frozen=True)
class Upstream:
    """An upstream and the node beside it, with their addresses."""

    name: str
    service: Service
    zone: str
    first_port: int

    def address(self, offset):
        """Returns the address with the port at this offset from the first."""
        return f"{HOST}:{self.first_port + offset}"

    @property
    def caller_address(self):
        """The node's listener for callers."""
        return self.address(0)

    @property
    def local_address(self):
        """The node's listener for the upstream and for operators."""
        return self.address(1)

    @property
    def peer_address(self):
        """The node's listener for other nodes; control links use the next
        port."""
        return self.address(2)

    @property
    def upstream_address(self):
        """The upstream's own listener."""
        return self.address(4)


@dataclasses.dataclass(frozen=True)
class Deployment:
    """A deployment as read from its description file."""

    name: str
    zones: list
    caller_latency_ms: float
    services: list
    classes: list
    base_port: int
    ranks_path: pathlib.Path

    @property
    def platform_address(self):
        """The address of the platform's key-value store."""
        return f"{HOST}:{self.base_port}"

    def service(self, name):
        """Returns the service with this name."""
        return next(s for s in self.services if s.name == name)

    def chain_calls(self, service_name, path):
        """Returns the number of calls in the chain of one request, including
        the request itself."""
        route = next(r for r in self.service(service_name).routes
                     if path.startswith(r["path"]))
        return 1 + sum(self.chain_calls(call["service"], call["path"])
                       for call in route.get("calls", []))

    def upstreams(self):
        """Returns all upstreams; those of a service are distributed over the
        availability zones in turn."""
        result = []
        for service in self.services:
            for number in range(service.upstreams):
                index = len(result)
                port = (self.base_port + RESERVED_PORTS
                        + index * PORTS_PER_UPSTREAM)
                zone = self.zones[number % len(self.zones)]
                name = f"{service.name}-{number + 1}"
                result.append(Upstream(name, service, zone, port))
        return result


def load(folder, base_port, slot_scale=1.0):
    """Reads deployment.json; multiplies all slot counts by slot_scale."""
    folder = pathlib.Path(folder)
    description = json.loads((folder / "deployment.json").read_text())
    services = []
    for entry in description["services"]:
        slots = max(1, round(entry["slots"] * slot_scale))
        routes = entry["routes"] + [PING_ROUTE]
        services.append(Service(entry["name"], entry["upstreams"], slots,
                                entry["connections"], routes))
    return Deployment(description["name"], description["availability_zones"],
                      description["caller_latency_ms"], services,
                      description["classes"], base_port,
                      folder / "ranks.commands")


def node_settings(deployment, upstream, overrides=None):
    """Returns the settings of an upstream's node as a ConfigParser."""
    settings = configparser.ConfigParser()
    first = deployment.upstreams()[0]
    settings["node"] = {
        "availability_zone": upstream.zone,
        "caller_address": upstream.caller_address,
        "local_address": upstream.local_address,
        "peer_address": upstream.peer_address,
        "contacts": first.peer_address if upstream != first else "",
    }
    settings["platform"] = {"address": deployment.platform_address}
    for section, values in (overrides or {}).items():
        if section not in settings:
            settings[section] = {}
        settings[section].update(values)
    return settings


def write_files(deployment, folder, overrides=None):
    """Writes SERVICE.routes.json for each service and UPSTREAM.ini for each
    node."""
    folder = pathlib.Path(folder)
    folder.mkdir(parents=True, exist_ok=True)
    for service in deployment.services:
        path = folder / f"{service.name}.routes.json"
        path.write_text(json.dumps(service.routes))
    for upstream in deployment.upstreams():
        with (folder / f"{upstream.name}.ini").open("w") as file:
            node_settings(deployment, upstream, overrides).write(file)
