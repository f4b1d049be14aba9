#!/bin/sh
# The stand-ins are Python modules of this repository and need no building. This checks
# that they can be imported with the libraries that the deploy file has installed.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps python3 -c "import review.support, standins.platform.__main__"
