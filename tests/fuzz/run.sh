#!/usr/bin/env bash
# Runs the fuzz targets on their corpora: either a fixed number of inputs with a fixed seed, so that the result is
# reproducible, or for a given time. A failing input is written to FOLDER/failures.
#   tests/fuzz/run.sh FOLDER            FOLDER: a build folder configured with MOTHWALK_FUZZ
#   tests/fuzz/run.sh FOLDER SECONDS    runs each target for this time, with a random seed
set -euo pipefail
folder=$1 seconds=${2:-}
corpora=$(dirname "$0")/corpus
# The number of inputs for each target; together they take well under a minute of processor time.
declare -A runs=([events]=60000 [configuration]=10000 [http]=30000 [peer_frames]=40000
                 [record_file]=5000 [runner_list]=30000 [settings]=10000)
failed=0
for target in $(printf '%s\n' "${!runs[@]}" | sort); do
  if [[ -n $seconds ]]; then limit=("-max_total_time=$seconds"); else limit=("-runs=${runs[$target]}" -seed=1); fi
  found=$(mktemp -d)
  mkdir -p "$folder/failures"
  began=$SECONDS
  if "$folder/tests/fuzz/fuzz-$target" "${limit[@]}" -max_len=4096 -timeout=20 -rss_limit_mb=2048 \
      -artifact_prefix="$folder/failures/$target-" "$found" "$corpora/$target" >"$folder/failures/$target.log" 2>&1; then
    echo "fuzz $target: $(grep -o '^Done [0-9]* runs' "$folder/failures/$target.log"), $((SECONDS - began)) s"
  else
    echo "fuzz $target: failed"
    tail -60 "$folder/failures/$target.log"
    failed=1
  fi
  rm -r "$found"
done
exit $failed
