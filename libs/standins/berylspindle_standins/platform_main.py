"""Run the stand-in of the platform.

Flow: read the initial VM list, listen on both ports, print one line when ready, and serve until
SIGTERM or SIGINT.
"""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path
from typing import Final

from cyclopts import App

from berylspindle_model import codec
from berylspindle_standins.platform_standin import start_platform
from berylspindle_store.routes import VmDocument, VmListDocument

EXIT_BAD_SETTING: Final = 2
EXIT_PORT_TAKEN: Final = 3

app: Final = App(name="berylspindle-platform-standin", help=__doc__.split("\n", 1)[0])


@app.default
def main(
    *,
    host: str = "127.0.0.1",
    port: int = 16000,
    admin_port: int = 16001,
    vms: Path | None = None,
    seed: int = 1,
) -> int:
    """Run the store and the VM list service.

    Args:
        host: address to listen on.
        port: port of the platform's protocol.
        admin_port: port of faults and counts.
        vms: file with the initial VM list, as the JSON body of GET /v1/vms.
        seed: seed for the random choice of lost replies.
    """
    try:
        initial_vms = () if vms is None else codec.from_json(vms.read_bytes(), VmListDocument).vms
    except (OSError, codec.MalformedError) as error:
        print(f"cannot read the VM list: {error}", file=sys.stderr)
        return EXIT_BAD_SETTING
    try:
        asyncio.run(_serve(host, port, admin_port, initial_vms, seed))
    except OSError as error:
        print(f"cannot listen: {error}", file=sys.stderr)
        return EXIT_PORT_TAKEN
    return 0


async def _serve(
    host: str, port: int, admin_port: int, vms: tuple[VmDocument, ...], seed: int
) -> None:
    stopped = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(signal_number, stopped.set)
    async with await start_platform(
        host, port, admin_port=admin_port, vms=vms, seed=seed
    ) as platform:
        print(f"ready port {platform.port} admin {platform.admin_port}", flush=True)
        await stopped.wait()


def run() -> None:
    """Run the command-line program."""
    sys.exit(app())
