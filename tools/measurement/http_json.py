"""HTTP calls with JSON bodies."""

import http.client
import json

TIMEOUT_S = 5


def call(address, method, path, body=None, host=None):
    """Sends a request and returns (status, headers, text); raises OSError."""
    connection = http.client.HTTPConnection(address, timeout=TIMEOUT_S)
    headers = {"Host": host} if host else {}
    text = None if body is None else json.dumps(body)
    try:
        connection.request(method, path, text, headers)
        response = connection.getresponse()
        return (response.status, response.headers,
                response.read().decode("utf-8", "replace"))
    except http.client.HTTPException as failure:
        raise OSError(str(failure)) from failure
    finally:
        connection.close()


def get(address, path):
    """Returns the JSON body of a GET; raises OSError, also for a status other
    than 200."""
    status, _, text = call(address, "GET", path)
    if status != 200:
        raise OSError(f"{address}{path}: status {status}")
    return json.loads(text)


def post(address, path, body):
    """Sends a POST and returns the status; raises OSError."""
    return call(address, "POST", path, body)[0]


def get_metrics(address):
    """Returns the Prometheus samples of a node, by name with labels."""
    _, _, text = call(address, "GET", "/metrics")
    samples = {}
    for line in text.splitlines():
        if line and not line.startswith("#"):
            name, _, value = line.rpartition(" ")
            samples[name] = float(value)
    return samples
