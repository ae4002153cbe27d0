#!/usr/bin/env bash
# Replays a deployment's recorded trace through a fleet of separate processes
# and prints the measures.
#
#   demo.sh DEPLOYMENT [ROUTERS] [ENGINES]
set -euo pipefail
cd "$(dirname "$0")/.."
deployment=${1:?missing argument: DEPLOYMENT}
bin=${BIN:-target/release}
trap 'scripts/fleet.sh stop "$deployment"' EXIT
scripts/fleet.sh start "$deployment" "${2:-4}" "${3:-9}"
. "run/$deployment/addresses"
"$bin/mimosaledge-replay" run "traces/$deployment.jsonl" \
  --routers "$routers" --ops "$ops" --vms "run/$deployment/vms.json" \
  --outcomes "traces/$deployment.outcomes.yaml" \
  --json "run/$deployment/measures.json" --plot "run/$deployment/loads.svg"
