#!/bin/sh
# Builds the stand-ins and drivers of the cases. They have no dependencies.
set -eu
cd "$(dirname "$0")/stand-ins"
exec cargo build --release --offline --locked
