#!/usr/bin/env bash
# Builds the gateway of another commit outside the repository, for the soak with two builds:
#
#   other-build.sh COMMIT DIRECTORY
#   target/release/mimosaledge-soak target/release/mimosaledge-edge --other DIRECTORY/edge \
#       --gateways 6 --count 20
#
# Add --other-lacks-forward --unlimited for commits before e54b67e that refuse the setting
# `listen.forward`, such as c343884.
set -euo pipefail
cd "$(dirname "$0")/.."
commit=${1:?missing argument: COMMIT}
directory=${2:?missing argument: DIRECTORY}
mkdir -p "$directory/source"
git archive "$commit" -- Cargo.toml Cargo.lock crates platform | tar -x -C "$directory/source"
cargo build --release --locked -p mimosaledge-edge \
  --manifest-path "$directory/source/Cargo.toml" --target-dir "$directory/target"
cp "$directory/target/release/mimosaledge-edge" "$directory/edge"
"$directory/edge" --help >/dev/null
echo "$directory/edge"
