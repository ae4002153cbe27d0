#!/usr/bin/env bash
# Replays one trace under several placement policies and prints one line of
# measures per policy.
#
#   compare.sh DEPLOYMENT TRACE [POLICY...]
set -euo pipefail
cd "$(dirname "$0")/.."
deployment=${1:?missing argument: DEPLOYMENT}
trace=${2:?missing argument: TRACE}
shift 2
policies=("$@")
[ ${#policies[@]} -gt 0 ] || policies=(
  random round_robin least_load rendezvous bounded_report affine
)
bin=${BIN:-target/release}
run=run/$deployment
trap 'scripts/fleet.sh stop "$deployment"' EXIT
for policy in "${policies[@]}"; do
  POLICY=$policy LOG_LEVEL=${LOG_LEVEL:-warn} \
    scripts/fleet.sh start "$deployment" "${ROUTERS:-4}" "${ENGINES:-9}" >/dev/null
  . "$run/addresses"
  "$bin/mimosaledge-replay" run "$trace" --routers "$routers" --ops "$ops" \
    --vms "$run/vms.json" --json "$run/measures.json" >"$run/measures.txt"
  python3 - "$policy" "$run/measures.json" <<'PY'
import json, sys
policy, path = sys.argv[1:]
m = json.load(open(path))
skew, latency, cost = m["skew"], m["latency"], m["routers"]
print(f"{policy:<15} whole {m['whole']}/{m['requests']}  reuse {m['reuse']['share']:.3f}  "
      f"skew p50 {skew['p50']:.2f} p99.9 {skew['p999']:.2f} run {skew['whole_run']:.2f} "
      f"over {100 * skew['over_bound']:.1f}% mean {skew['mean_load']:.1f}  "
      f"first p50 {latency['first_p50']:.0f} p95 {latency['first_p95']:.0f} p99 {latency['first_p99']:.0f} ms  "
      f"control {cost['control_mean']:.0f} B/s  core {cost['core_mean']:.3f}  retries {m['retries']}")
PY
  scripts/fleet.sh stop "$deployment"
  sleep 0.3
done
