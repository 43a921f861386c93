#!/usr/bin/env bash
# Checks that only platform/ and tests/platform_*.cpp use the names of the users' platform. Names that are standard
# (Last-Event-Id, Retry-After) or also the product's own are not on the list.
set -euo pipefail
cd "$(dirname "$0")/.."
words='attempt-id|server-seal|time-budget|prompt-prefix|target-instance|instance-load|instance-id|not-executed|base-version|poll-wait-ms|token-count|expected-version|weight-versions|warmup-|config\.(replace|modify|show)|evacuation\.(begin|finish)|retire\.(begin|show)|/v1/readiness|pool-(split|table)|route-table|route-type|share-weight|traffic-class|virtual-host|path-prefix|max-tries|session-affinity|target-latency|gap-target|completion-target|batch-items|header-map|page-(token|cursor)|next-token|result-list|instance-list|oper-state|config-revision|slot-count|kv-(token|pool|in-use)|model-list|health-path|mothwalk_node_file|node\.toml|node-name|machine-class|served-planes|internal-port-range|seed-list|quorum-member|bind-addresses|cloud[-_]api|enforced-contracts|timing-bounds'
found=$(grep -rniE --include='*.cpp' --include='*.hpp' "$words" source tests | grep -vE '^tests/platform_[a-z_]+\.cpp:' || true)
if [[ -n $found ]]; then
  echo "Names of the platform's protocol outside platform/ and tests/platform_*.cpp; translate them in platform/:"
  echo "$found"
  exit 1
fi
