#!/bin/sh
# Checks that everything that the scripts 6 to 10 start can be loaded, after the build of
# the deploy file. The stand-ins are Python; their only library is in target/deps.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH=target/deps python3 -c "
import sys
sys.path.insert(0, 'review')
import fleet_2
import cranberryport.node
"
