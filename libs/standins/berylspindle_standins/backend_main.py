"""Run stand-in backend servers.

Flow: select the servers of a deployment, listen on their ports, print one line when ready, and
serve until SIGTERM or SIGINT.
"""

from __future__ import annotations

import asyncio
import signal
import sys
from collections.abc import Iterable
from typing import Annotated, Final

import attrs
from cyclopts import App, Parameter

from berylspindle_model.configuration import Configuration
from berylspindle_standins.backend_faults import BackendOptions
from berylspindle_standins.backend_standin import start_backends
from berylspindle_standins.deployments import ADMIN_PORT_OFFSET, DEPLOYMENTS, options_by_service

EXIT_PORT_TAKEN: Final = 3
EXIT_BAD_SETTING: Final = 2

app: Final = App(name="berylspindle-backend-standin", help=__doc__.split("\n", 1)[0])


@app.default
def main(
    *,
    deployment: str = "small",
    base_port: int = 17000,
    admin_port: int | None = None,
    service: tuple[str, ...] = (),
    data_centre: tuple[str, ...] = (),
    options: Annotated[BackendOptions | None, Parameter(name="*")] = None,
) -> int:
    """Run the backend servers of a deployment in this process.

    Args:
        deployment: kurabito, pwani-kamba or small.
        base_port: port of the first server; the others have consecutive ports.
        admin_port: port of faults and counts; base_port + 500 by default.
        service: run only the servers of this service, with the ports they have in the
            whole deployment; repeatable. One process per service spreads the load over
            CPU cores.
        data_centre: run only the servers of this data centre, in the same way; repeatable.
        options: options of every server; connect_ms depends on the service unless above 0.
    """
    if deployment not in DEPLOYMENTS:
        print(f"unknown deployment {deployment}: use {', '.join(DEPLOYMENTS)}", file=sys.stderr)
        return EXIT_BAD_SETTING
    try:
        configuration = _select_servers(DEPLOYMENTS[deployment](base_port), service, data_centre)
    except ValueError as error:
        print(error, file=sys.stderr)
        return EXIT_BAD_SETTING
    server_options = options if options is not None else BackendOptions()
    port = base_port + ADMIN_PORT_OFFSET if admin_port is None else admin_port
    try:
        asyncio.run(_serve(configuration, port, server_options))
    except OSError as error:
        print(f"cannot listen: {error}", file=sys.stderr)
        return EXIT_PORT_TAKEN
    return 0


def _select_servers(
    configuration: Configuration, services: tuple[str, ...], data_centres: tuple[str, ...]
) -> Configuration:
    """Return the configuration with only the selected servers.

    Raises ValueError for an unknown name.
    """
    _check_known("service", services, (item.name for item in configuration.services))
    _check_known("data centre", data_centres, (item.name for item in configuration.data_centres))
    servers = tuple(
        server
        for server in configuration.servers
        if (not services or server.service in services)
        and (not data_centres or server.data_centre in data_centres)
    )
    return attrs.evolve(configuration, servers=servers)


def _check_known(kind: str, names: tuple[str, ...], known: Iterable[str]) -> None:
    known_names = sorted(known)
    unknown = sorted(set(names) - set(known_names))
    if unknown:
        raise ValueError(f"unknown {kind} {unknown[0]}: use {', '.join(known_names)}")


async def _serve(configuration: Configuration, admin_port: int, options: BackendOptions) -> None:
    standin = await start_backends(
        configuration,
        options=options,
        service_options={} if options.connect_ms else options_by_service(options),
        admin_port=admin_port,
    )
    stopped = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(signal_number, stopped.set)
    async with standin:
        print(f"ready {len(configuration.servers)} servers admin {standin.admin_port}", flush=True)
        await stopped.wait()


def run() -> None:
    """Run the command-line program."""
    sys.exit(app())
