#!/usr/bin/env bash
# Runs the Bangkok fleet on this machine: 3 controls, 1 relay, 2 routers and 70
# back ends, with keys of their own. Sends open-loop load on every route while
# back ends straggle, leave and get new index versions and an operator changes
# the configuration; prints a table per route, and last what the judge found.
# The exit code is 0 only if that is "violations: 0".
#
# Environment:
#   DEMO_SECONDS  length of the load (default: 15)
#   DEMO_PORT     first of the 40 ports used on 127.0.0.1 (default: 19100); the
#                 back ends use port 7000 on 127.1.1.1 to 127.1.4.10
#   KEEP          keep the folder with settings, logs and records when set
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/processes.sh

seconds=${DEMO_SECONDS:-15}
plan_fleet deploy/bangkok/bangkok.policy "${DEMO_PORT:-19100}" 3 1 2
begin demo
settle 5s 500ms
cat >"$folder/settings/faults.yaml" <<END
service_times:
  default: {median: 4ms, sigma: 0.4}
  notify-desk: {median: 8ms, sigma: 0.4}
stragglers: {fraction: 0.05, factor: 20, period: 3s}
rolls:
  - {service: seat-finder, at: 6s, stagger: 1s, keep: 3s, every: 4s, until: 60s}
  - {service: host-portal, at: 8s, stagger: 2s, keep: 4s, every: 6s, until: 60s}
faults:
  - {what: drain, servers: {address: "127.1.1.3:7000"}, at: 12s, for: 6s}
END

echo "starting ${#voters[@]} controls, ${#relays[@]} relay, ${#callers[@]} routers and ${#backends[@]} back ends, of which 1 in 20 is slow at any time"
start_fleet "$folder/settings/faults.yaml"
echo "the operator applies $policy"
apply demo-1 "$policy"

echo "$seconds s of load on every route; the operator changes the configuration meanwhile"
start_load "$seconds" --rate quick-pick=120 --rate roster-sweep=25 --rate reminder-send=40 --rate free-seat-feed=40 --resends 2
sleep $((seconds / 2))
require_alive
sed 's/budget 5% burst 10/budget 4% burst 10/' "$policy" >"$folder/settings/second.policy"
apply demo-2 "$folder/settings/second.policy"
await_load $((seconds + 60))

echo "planned stop of everything"
stop_fleet
conclude
