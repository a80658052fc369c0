#!/bin/sh
# Builds every stand-in of the second review, offline and with the locked versions. The project
# itself is built by the command `build` of deploy/balancer.toml.
set -eu
cd "$(dirname "$0")/stand-ins-2"
exec cargo build --release --locked --offline
