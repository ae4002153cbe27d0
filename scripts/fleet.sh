#!/usr/bin/env bash
# Starts and stops a fleet of separate processes on the loopback interface, with
# stand-ins for the platform, engines and services (mimosaledge-standin).
#
# A member is one process of the fleet, such as router-1 or platform.
#
#   fleet.sh start DEPLOYMENT [ROUTERS] [ENGINES]
#   fleet.sh stop DEPLOYMENT
#   fleet.sh pid DEPLOYMENT NAME          prints the process id of a member
#   fleet.sh restart DEPLOYMENT NAME      starts a member that has exited
#   fleet.sh addresses DEPLOYMENT         prints addresses as shell variables
#
# Environment: BIN (directory of the binaries), POLICY, LOG_LEVEL,
# CACHE_TOKENS, STEP_MS, SLOTS, CONFIG (a file), SNAPSHOT_EVERY, KEEP_MS,
# BASE_PORT.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=${BIN:-target/release}
command=${1:?missing argument: COMMAND}
deployment=${2:?missing argument: DEPLOYMENT}
run=run/$deployment
. "deploy/$deployment/fleet.conf"
base_port=${BASE_PORT:-$base_port}
step_ms=${STEP_MS:-$step_ms}
read -r -a centre_list <<<"$data_centres"
read -r -a short_list <<<"$short_names"

# Starts member NAME with the command line in its .cmd file.
start_member() { # NAME
  local name=$1
  # shellcheck disable=SC2046
  $(cat "$run/$name.cmd") >"$run/$name.out" 2>>"$run/$name.log" &
  echo $! >"$run/$name.pid"
}

wait_for_port() { # PORT
  for _ in $(seq 200); do
    if (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; then return 0; fi
    sleep 0.02
  done
  echo "timed out waiting for port $1" >&2
  return 1
}

# Prints the entry of a member in the list of VMs.
vm_entry() { # NAME KIND PORT DATA_CENTRE [PEER_PORT]
  local peer=""
  [ -z "${5:-}" ] || peer="\"peer\":\"127.0.0.1:$5\","
  printf '{"name":"%s","kind":"%s","addr":"127.0.0.1:%s",%s"data_centre":"%s","region":"%s"}' \
    "$1" "$2" "$3" "$peer" "$4" "$region"
}

# Prints --fenced if the configuration says that engine NAME checks fencing tokens.
fenced_flag() { # NAME
  grep -q "name: $1, .*fenced: true" "deploy/$deployment/config.yaml" && echo --fenced || true
}

# Writes the command lines, settings and addresses of all members to $run.
write_run_files() { # ROUTERS ENGINES
  local routers=$1 engines=$2 n centre short port name entries=()
  mkdir -p "$run"
  rm -f "$run"/*
  local platform=$base_port
  echo "$bin/mimosaledge-standin platform --addr 127.0.0.1:$platform --vms $run/vms.json" \
    >"$run/platform.cmd"
  for ((n = 0; n < engines; n++)); do
    centre=${centre_list[n % 3]} short=${short_list[n % 3]}
    name=$short-lm-$((n / 3 + 1)) port=$((base_port + 10 + n))
    echo "$bin/mimosaledge-standin engine --addr 127.0.0.1:$port --name $name --model $model" \
      "--weights 127.0.0.1:$platform $(fenced_flag "$name")" \
      "--step-ms $step_ms --slots ${SLOTS:-16} --cache-tokens ${CACHE_TOKENS:-200000}" >"$run/$name.cmd"
    entries+=("$(vm_entry "$name" engine "$port" "$centre")")
  done
  for ((n = 0; n < 3; n++)); do
    name=${short_list[n]}-$service port=$((base_port + 1 + n))
    echo "$bin/mimosaledge-standin service --addr 127.0.0.1:$port" >"$run/$name.cmd"
    entries+=("$(vm_entry "$name" service "$port" "${centre_list[n]}")")
  done
  local http=() ops=()
  for ((n = 0; n < routers; n++)); do
    centre=${centre_list[n % 3]} name=router-$((n + 1)) port=$((base_port + 500 + n * 3))
    cat >"$run/$name.yaml" <<YAML
kind: router
name: $name
data_centre: $centre
region: $region
http: 127.0.0.1:$port
peer: 127.0.0.1:$((port + 1))
ops: 127.0.0.1:$((port + 2))
platform: 127.0.0.1:$platform
seeds: ["127.0.0.1:$((base_port + 501))", "127.0.0.1:$((base_port + 504))"]
policy: ${POLICY:-affine}
log_level: ${LOG_LEVEL:-info}
limits:
  keep_ms: ${KEEP_MS:-2000}
  snapshot_every: ${SNAPSHOT_EVERY:-500}
YAML
    echo "$bin/mimosaledge-router --settings $run/$name.yaml" >"$run/$name.cmd"
    entries+=("$(vm_entry "$name" router "$port" "$centre" $((port + 1)))")
    http+=("127.0.0.1:$port") ops+=("127.0.0.1:$((port + 2))")
  done
  for n in 1 2; do
    cat >"$run/steward-$n.yaml" <<YAML
kind: steward
name: steward-$n
platform: 127.0.0.1:$platform
weight_mib_per_s: 1000
log_level: ${LOG_LEVEL:-info}
YAML
    echo "$bin/mimosaledge-steward --settings $run/steward-$n.yaml" >"$run/steward-$n.cmd"
  done
  (IFS=,; echo "[${entries[*]}]" >"$run/vms.json"
   echo "routers=${http[*]}" >"$run/addresses"
   echo "ops=${ops[*]}" >>"$run/addresses")
  echo "platform=127.0.0.1:$platform" >>"$run/addresses"
}

case $command in
start)
  write_run_files "${3:-4}" "${4:-9}"
  for file in "$run"/*.cmd; do start_member "$(basename "$file" .cmd)"; done
  . "$run/addresses"
  for address in ${routers//,/ } ${ops//,/ } "$platform"; do wait_for_port "${address##*:}"; done
  "$bin/mimosaledge" publish "${CONFIG:-deploy/$deployment/config.yaml}" \
    --platform "$platform" --routers "$ops" --wait
  # Routers must have probed every endpoint once before the first request.
  sleep 1.5
  ;;
stop)
  for file in "$run"/*.pid; do
    [ -e "$file" ] || continue
    kill -CONT "$(cat "$file")" 2>/dev/null || true
    kill -KILL "$(cat "$file")" 2>/dev/null || true
  done
  ;;
pid) cat "$run/${3:?missing argument: NAME}.pid" ;;
restart) start_member "${3:?missing argument: NAME}" ;;
addresses) cat "$run/addresses" ;;
*) echo "unknown command $command" >&2; exit 2 ;;
esac
