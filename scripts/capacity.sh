#!/usr/bin/env bash
# Measures control traffic, CPU and memory per router for varying numbers of
# routers and engines and two request rates. Writes one tab-separated row per run.
#
#   capacity.sh [OUT]
set -euo pipefail
cd "$(dirname "$0")/.."
out=${1:-run/capacity.tsv}
bin=${BIN:-target/release}
deployment=lagyviz
run=run/$deployment
mkdir -p run
trap 'scripts/fleet.sh stop $deployment' EXIT
"$bin/mimosaledge-replay" generate lagyviz --out run/slow.jsonl --requests 150 --rate 10 --seed 11
"$bin/mimosaledge-replay" generate lagyviz --out run/fast.jsonl --requests 1800 --rate 120 --seed 12
: >"$out"

measure() { # ROUTERS ENGINES TRACE
  scripts/fleet.sh start $deployment "$1" "$2" >/dev/null
  . "$run/addresses"
  "$bin/mimosaledge-replay" run "run/$3.jsonl" --routers "$routers" --ops "$ops" \
    --vms "$run/vms.json" --sample-ms 200 --json "$run/measures.json" >/dev/null
  python3 - "$1" "$2" "$3" "$run/measures.json" <<'PY' | tee -a "$out"
import json, sys
routers, engines, trace, path = sys.argv[1:]
m = json.load(open(path))
cost = m["routers"]
kinds = cost["by_kind"]
row = [routers, engines, trace, m["whole"], m["requests"], round(cost["control_mean"]),
       round(cost["control_max"])]
row += [round(kinds.get(k, 0)) for k in
        ("admission", "gossip", "witness", "probe", "platform", "notice", "transfer")]
row += [round(cost["core_mean"], 4), round(cost["resident_mib"], 1),
        round(m["reuse"]["share"], 3), round(m["skew"]["over_bound"], 3)]
print("\t".join(map(str, row)))
PY
  scripts/fleet.sh stop $deployment
  sleep 0.3
}

echo "routers engines trace whole requests control max admission gossip witness probe platform notice transfer core MiB reuse over" | tr ' ' '\t' | tee -a "$out"
for router_count in ${ROUTERS:-4 8 16 32 64}; do
  for trace in slow fast; do measure "$router_count" 9 "$trace"; done
done
for engine_count in ${ENGINES:-12 24 60}; do
  for trace in slow fast; do measure 8 "$engine_count" "$trace"; done
done
