#!/usr/bin/env bash
# Runs the Bangkok fleet on this machine: 3 controls, 1 relay, 2 routers and 70
# back ends, with keys of their own. Sends open-loop load on every route while
# back ends straggle, leave and get new index versions and an operator changes
# the configuration; prints a table per route, and last what the judge found.
# The exit code is 0 only if that is "violations: 0".
#
# Environment:
#   DEMO_SECONDS  length of the load (default: 15)
#   DEMO_PORT     first of the 40 ports used on 127.0.0.1 (default: 23000); the
#                 back ends use port 7000 on 127.1.1.1 to 127.1.4.10
#   KEEP          keep the folder with settings, logs and records when set
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/processes.sh

seconds=${DEMO_SECONDS:-15}
port=${DEMO_PORT:-23000}
policy=deploy/bangkok/bangkok.policy
voters=("127.0.0.1:$((port + 1))" "127.0.0.1:$((port + 2))" "127.0.0.1:$((port + 3))")
relay=127.0.0.1:$((port + 10))
callers=("127.0.0.1:$((port + 21))" "127.0.0.1:$((port + 22))")
peers=("127.0.0.1:$((port + 31))" "127.0.0.1:$((port + 32))")
zones=(bangkok-a bangkok-b)

[[ -x $bin/martenstage && -x $bin/martenbench ]] || fail "no programs in $bin; run make build"
mapfile -t backends < <(replicas "$policy")
free_port "${voters[@]}" "$relay" "${callers[@]}" "${peers[@]}" "${backends[@]}"
begin demo

echo "keys for 3 controls, 1 relay, 2 routers and an operator"
"$bin/martenstage" keys init --folder "$folder/keys" >/dev/null
issue control control-1 control-2 control-3
issue relay relay-1
issue router router-1 router-2
issue operator operator

echo "${#backends[@]} back ends, of which 1 in 20 is slow at any time"
cat >"$folder/settings/faults.yaml" <<END
service_times:
  default: {median: 4ms, sigma: 0.4}
  notify-desk: {median: 8ms, sigma: 0.4}
stragglers: {fraction: 0.05, factor: 20, period: 3s}
rolls:
  - {service: seat-finder, at: 6s, stagger: 1s, keep: 3s, every: 4s, until: 60s}
  - {service: host-portal, at: 8s, stagger: 2s, keep: 4s, every: 6s, until: 60s}
faults:
  - {what: drain, servers: {address: "127.1.1.3:7000"}, at: 9s, for: 6s}
END
start backends "$bin/martenbench" backends --policy-file "$policy" --script "$folder/settings/faults.yaml" \
	--record "$folder/records/backends.jsonl" --log-level warning
await_listening backends "${backends[-1]}"

for id in 1 2 3; do
	settings "control-$id" <<-END
		id: $id
		data-folder: $folder/control-$id
		listen: ${voters[id - 1]}
		voter: ["1=${voters[0]}", "2=${voters[1]}", "3=${voters[2]}"]
		lease: 5s
	END
	start "control-$id" "$bin/martenstage" control --settings "$folder/settings/control-$id.yaml"
done
upstreams="[\"${voters[0]}\", \"${voters[1]}\", \"${voters[2]}\"]"
settings relay-1 <<-END
	name: relay-1
	zone: bangkok-a
	listen: $relay
	upstream: $upstreams
END
start relay-1 "$bin/martenstage" relay --settings "$folder/settings/relay-1.yaml"
for id in 1 2; do
	settings "router-$id" <<-END
		name: router-$id
		zone: ${zones[id - 1]}
		callers-listen: ${callers[id - 1]}
		peers-listen: ${peers[id - 1]}
		upstream: ["$relay"]
		control: $upstreams
		data-folder: $folder/router-$id
		stop-notice: 500ms
		stop-quiet: 200ms
	END
	start "router-$id" "$bin/martenstage" router --settings "$folder/settings/router-$id.yaml"
done
for id in 1 2 3; do await_listening "control-$id" "${voters[id - 1]}"; done
await_listening relay-1 "$relay"
for id in 1 2; do await_listening "router-$id" "${callers[id - 1]}"; done

echo "the operator applies $policy"
apply demo-1 "$policy"

echo "$seconds s of load on every route; the operator changes the configuration meanwhile"
start load "$bin/martenbench" load --policy-file "$policy" --duration "${seconds}s" --wait-ready 20s \
	--router "${callers[0]}" --router "${callers[1]}" --record "$folder/records/answers.jsonl" \
	--rate quick-pick=120 --rate roster-sweep=25 --rate reminder-send=40 --rate free-seat-feed=40 --resends 2
sleep $((seconds / 2))
require_alive
sed 's/budget 5% burst 10/budget 4% burst 10/' "$policy" >"$folder/settings/second.policy"
apply demo-2 "$folder/settings/second.policy"
await_exit load $((seconds + 60)) || fail "the load does not end"
wait "${pids[load]}" || fail "load: $(tail -n 3 "$folder/logs/load.log")"
unset "pids[load]"
require_alive

stop_router router-1 "${callers[0]}"
stop_router router-2 "${callers[1]}"
stop relay-1
for id in 3 2 1; do stop "control-$id"; done
stop backends

cat "$folder/logs/load.log"
"$bin/martenbench" judge --folder "$folder/records" --policy-file "$policy"
