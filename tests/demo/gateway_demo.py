#!/usr/bin/env python3
"""Starts three gateways before stand-ins of the users' targets and shows one staged stream."""

import argparse
import pathlib
import sys
import tempfile

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "scenarios"))

from gateways import GatewayFleet, send_routed  # noqa: E402

TARGETS = {"engine": 3, "encode": 2, "retrieve": 2}


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    with tempfile.TemporaryDirectory(prefix="gateway-demo-") as work:
        fleet = GatewayFleet(parser.parse_args().build, work)
        try:
            fleet.start_platform()
            fleet.publish_routes()
            for service, count in TARGETS.items():
                fleet.start_service(service, count)
            fleet.start_gateways(3)
            connection = fleet.vms["vm-0"].connection()
            send_routed(connection, "draft", "demo-1", "review dossier 7")
            response = connection.getresponse()
            print(f"HTTP {response.status}")
            for name, value in response.getheaders():
                print(f"{name}: {value}")
            print()
            print(response.read().decode(), end="")
            made = sum(stats.get("piecesMade", 0) for stats in fleet.target_stats())
            print(f"pieces made for it by two stages: {made}")
        finally:
            fleet.close()


if __name__ == "__main__":
    main()
