#!/bin/sh
# Checks that the stand-ins of the scripts can be imported; nothing has to be compiled.
# They use the libraries that the build command of deploy/system.toml installs.
set -e
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps:.:review
python3 -c "import fleet_3, platform_3, standins.platform.__main__"
