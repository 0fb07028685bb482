"""Writes the settings of all hosts of both example deployments."""

import pathlib

import attrs

ROOT = pathlib.Path(__file__).parent.parent / "examples"
KEY_NOTE = "Replace it: openssl rand -hex 32. It must be the same on all hosts."
EXAMPLE_KEY = "00112233445566778899aabbccddeeff" * 2


@attrs.frozen
class Service:
    """A service of an example.

    :param connections: connections to each backend server.
    """

    name: str
    upstreams: int
    slots: int
    connections: int


@attrs.frozen
class Example:
    """A deployment.

    :param network: first two numbers of its IP addresses.
    :param replicas: data centre of each replica.
    :param delays: what the users measured, for the comment in each file.
    """

    name: str
    region: str
    data_centres: tuple[str, ...]
    network: str
    services: tuple[Service, ...]
    replicas: tuple[str, ...]
    delays: str
    connect_seconds: float


KIKAPU = Example(
    name="kikapu",
    region="ke-central",
    data_centres=("ke-a", "ke-b", "ke-c", "ke-d"),
    network="10.10",
    services=(
        Service("wallet", 4, 75, 550),
        Service("payouts", 4, 75, 550),
        Service("receipts", 4, 75, 550),
        Service("insights", 4, 20, 230),
    ),
    replicas=("ke-a", "ke-b", "ke-c", "ke-d", "ke-a"),
    delays="data centres about 5 ms apart one way, about 1 ms from clients",
    connect_seconds=0.25,
)
ASSOCIATION = Example(
    name="association",
    region="nz-north",
    data_centres=("nz-a", "nz-b", "nz-c"),
    network="10.20",
    services=(
        Service("specs", 5, 70, 530),
        Service("certs", 3, 85, 600),
        Service("uploads", 3, 85, 600),
        Service("bookings", 3, 50, 400),
    ),
    replicas=("nz-a", "nz-b", "nz-c"),
    delays="data centres about 4 ms apart, about 1 ms from clients",
    connect_seconds=0.25,
)


@attrs.frozen
class Host:
    """Place and address of one process."""

    name: str
    data_centre: str
    address: str


def list_nodes(example: Example) -> list[tuple[Service, Host]]:
    """Spreads the upstreams of each service over the data centres."""
    hosts = []
    counts = dict.fromkeys(example.data_centres, 0)
    for service in example.services:
        for number in range(service.upstreams):
            position = number % len(example.data_centres)
            data_centre = example.data_centres[position]
            counts[data_centre] += 1
            address = f"{example.network}.{position + 1}.{10 + counts[data_centre]}"
            name = f"{service.name}-{number + 1}"
            hosts.append((service, Host(name, data_centre, address)))
    return hosts


def list_replicas(example: Example) -> list[Host]:
    """Places the replicas."""
    hosts = []
    for number, data_centre in enumerate(example.replicas, start=1):
        position = example.data_centres.index(data_centre) + 1
        address = f"{example.network}.{position}.{200 + number}"
        hosts.append(Host(f"r{number}", data_centre, address))
    return hosts


def write_common(example: Example) -> str:
    """Writes the keys that are the same on all hosts."""
    members = ",\n".join(
        f'    {{"id": "{host.name}", "address": "{host.address}:7200", '
        f'"region": "{example.region}", "data_centre": "{host.data_centre}"}}'
        for host in list_replicas(example)
    )
    return f"""  "deployment": "{example.name}",
  // {KEY_NOTE}
  "shared_key": "{EXAMPLE_KEY}",
  "replicas": [
{members}
  ]"""


def write_node(example: Example, service: Service, host: Host) -> str:
    """Writes the settings of a node."""
    seeds = {}
    for _, other in list_nodes(example):
        seeds.setdefault(other.data_centre, f'"{other.address}:7100"')
    return f"""// {host.name}: node beside one of the upstreams of {service.name},
// {service.upstreams} in all. The backend server itself announces its
// {service.slots} slots. Measured: {example.delays}.
{{
{write_common(example)},
  "node": {{
    "id": "{host.name}",
    "region": "{example.region}",
    "data_centre": "{host.data_centre}"
  }},
  "listen": {{
    "inbound": "{host.address}:8080",
    "outbound": "127.0.0.1:8081",
    "peer": "{host.address}:7000",
    "gossip": "{host.address}:7100",
    "admin": "127.0.0.1:7400"
  }},
  // One node of each data centre is enough to find all others.
  "seeds": [{", ".join(seeds.values())}],
  "backend": {{
    "connections": {service.connections},
    // A new connection takes about 1 ms.
    "connect_seconds": {example.connect_seconds}
  }}
}}
"""


def write_replica(example: Example, host: Host) -> str:
    """Writes the settings of a replica."""
    return f"""// {host.name}: replica in {host.data_centre}.
{{
{write_common(example)},
  "replica": {{
    "id": "{host.name}",
    "data_folder": "/var/lib/coltsfootspar",
    "region": "{example.region}",
    "data_centre": "{host.data_centre}"
  }},
  "listen": {{
    "peer": "{host.address}:7200",
    "admin": "127.0.0.1:7401"
  }}
}}
"""


def write_example(example: Example) -> None:
    """Writes all files of a deployment."""
    folder = ROOT / example.name
    for service, host in list_nodes(example):
        path = folder / "nodes" / f"{host.name}.jsonc"
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(write_node(example, service, host))
    for host in list_replicas(example):
        path = folder / "replicas" / f"{host.name}.jsonc"
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(write_replica(example, host))


if __name__ == "__main__":
    for each in (KIKAPU, ASSOCIATION):
        write_example(each)
