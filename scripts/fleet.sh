#!/usr/bin/env bash
# Runs a deployment of the users at its full size on this machine, as plain
# processes with mutual TLS: 3 controls, 2 relays, a router per zone and every
# back end. Injects faults by time while open-loop load runs on every route,
# prints the report and last what the judge found. The exit code is 0 only if
# that is "violations: 0".
#
#   scripts/fleet.sh bangkok|norte-grande
#
# Environment:
#   FLEET_RATE  requests per second of each route (default: 30)
#   FLEET_PORT  first of the 40 ports used on 127.0.0.1 (default: 19200); back
#               ends use the addresses of the deployment
#   KEEP        keep the folder with settings, logs and records when set
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/processes.sh

deployment=${1:-}
[[ -n $deployment ]] || fail "name a deployment: bangkok or norte-grande"
seconds=60
mapfile -t zones < <(sed -n 's/^[[:space:]]*replica .* zone \([^ ]*\).*/\1/p' "deploy/$deployment/$deployment.policy" | sort -u)
plan_fleet "deploy/$deployment/$deployment.policy" "${FLEET_PORT:-19200}" 3 2 "${#zones[@]}"
begin fleet
settle 5s 1s

mapfile -t services < <(sed -n 's/^service \([^ ]*\) .*/\1/p' "$policy")
{
	echo "service_times:"
	echo "  default: {median: 4ms, sigma: 0.4}"
	echo "stragglers: {fraction: 0.05, factor: 20, period: 3s}"
	echo "rolls:"
	for service in "${services[@]}"; do
		echo "  - {service: $service, at: 10s, stagger: 2s, keep: 3s, every: 7s, until: 90s}"
	done
	echo "faults:"
	echo "  - {what: pause, servers: {address: \"${backends[0]}\"}, at: 14s, for: 5s}"
	echo "  - {what: drain, servers: {address: \"${backends[3]}\"}, at: 20s, for: 10s}"
	echo "  - {what: health_lie, state: ready, servers: {address: \"${backends[5]}\"}, at: 30s, for: 14s}"
	echo "  - {what: drain, servers: {address: \"${backends[5]}\"}, at: 32s, for: 10s}"
	echo "  - {what: crash, servers: {address: \"${backends[8]}\"}, at: 40s, for: 8s}"
	echo "  - {what: reset_reply, byte: 200, fraction: 0.02, at: 46s, for: 8s}"
	echo "  - {what: wrong_echo, field: version, fraction: 0.02, at: 50s, for: 8s}"
} >"$folder/settings/faults.yaml"

# at SECONDS waits until that long after the load began.
at() {
	local left
	left=$(($1 * 1000 - ($(date +%s%3N) - began)))
	((left <= 0)) || sleep "$((left / 1000)).$(printf '%03d' $((left % 1000)))"
	require_alive
}

say() { echo "$((($(date +%s%3N) - began) / 1000)) s: $*"; }

# leader prints the number of the control that leads.
leader() { operate status --json | sed -n 's/^ *"leader_id": *"\([0-9]*\)".*/\1/p'; }

echo "$deployment: starting ${#voters[@]} controls, ${#relays[@]} relays, ${#callers[@]} routers and ${#backends[@]} back ends"
start_fleet "$folder/settings/faults.yaml"
apply "$deployment-1" "$policy"
sed 's/cold start 10s/cold start 9s/' "$policy" >"$folder/settings/second.policy"

start_load "$seconds" --default-rate "${FLEET_RATE:-30}" --resends 3 --honor-retry-after
began=$(date +%s%3N)
at 6
say "kill -9 of router 2"
crash router-2
at 9
say "router 2 starts again"
launch router 2
at 14
number=$(leader)
say "kill -9 of control $number, which leads"
crash "control-$number"
at 17
say "the operator changes the configuration with one control down"
apply "$deployment-2" "$folder/settings/second.policy"
at 21
say "control $number starts again"
launch control "$number"
at 25
number=$(leader)
say "control $number, which leads, is cut off (SIGSTOP)"
kill -STOP "${pids[control-$number]}"
at 29
say "the operator changes the configuration meanwhile"
apply "$deployment-3" "$policy"
at 33
say "control $number is back (SIGCONT)"
kill -CONT "${pids[control-$number]}"
at 36
say "the operator drains ${backends[10]}"
printf '{"departure":{"backend":"%s","began":"%s"}}\n' "${backends[10]}" "$(now)" >"$folder/records/backends-operator.jsonl"
operate drain "${backends[10]}" | sed 's/^/  /'
at 39
say "relay 1 is killed"
crash relay-1
at 42
say "relay 1 starts again"
launch relay 1
at 44
say "planned restart of router 1"
stop_router 1
launch router 1
at 52
say "planned restart of router 3"
stop_router 3
launch router 3
await_load $((seconds + 60))

echo "planned stop of everything"
stop_fleet
conclude
