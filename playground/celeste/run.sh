#!/usr/bin/env bash
# Starts a small deployment on loopback, sends it requests, prints answers and times, and exits.
set -euo pipefail
cd "$(dirname "$0")/../.."
exec node --import=tsx playground/celeste/run.ts
