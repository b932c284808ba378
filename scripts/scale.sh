#!/usr/bin/env bash
# Starts control, relays, hollow followers and a few real routers as plain
# processes on 127.0.0.1, measures them with `martenbench scale`, and ends
# exactly those processes. Prints the result of `martenbench scale`.
#
#   scripts/scale.sh --routers 250 --servers 1000 --relays 4 [--json] [...]
#   scripts/scale.sh --regions 9 --routers 4500 --servers 57000 --relays 18 [...]
#
# With several regions each has voters, relays and followers of its own; numbers
# are totals. Further options are passed on to `martenbench scale`. Environment:
#   SCALE_BIN      folder of the programs (default: bin)
#   SCALE_VOTERS   control voters of each region (default: 3)
#   SCALE_REAL     real routers of the first region that probe their back ends (default: 1)
#   SCALE_QUIET    real routers there that probe only once an hour (default: 1)
#   SCALE_SINGLE   processes of one hollow follower there, for the memory that
#                  one alone takes; not among the followers (default: 0)
#   SCALE_ZONES    zones of relays and followers (default: one for two relays;
#                  with several regions 26, dealt to the regions in turn)
#   SCALE_MEMORY   soft bound on the memory of each hollow process, as GOMEMLIMIT
#                  has it (default: none)
#   SCALE_PORT     first port (default: 21000)
#   SCALE_KEEP     keep the folder with the logs when set
set -euo pipefail

regions=1 routers=250 servers=1000 relays=4
passed=()
while (($#)); do
	case $1 in
	--regions) regions=$2; shift 2 ;;
	--routers) routers=$2; shift 2 ;;
	--servers) servers=$2; shift 2 ;;
	--relays) relays=$2; shift 2 ;;
	*) passed+=("$1"); shift ;;
	esac
done

bin=${SCALE_BIN:-bin}
voters=${SCALE_VOTERS:-3}
zones=${SCALE_ZONES:-$((regions > 1 ? 26 : (relays + 1) / 2))}
port=${SCALE_PORT:-21000}
per_process=1200
folder=$(mktemp -d "${TMPDIR:-/tmp}/martenstage-scale.XXXXXX")
pids=()

stop() {
	# Routers and hollow ones first, so that nobody looks for a relay that is gone.
	for ((index = ${#pids[@]} - 1; index >= 0; index--)); do
		kill "${pids[index]}" 2>/dev/null || true
	done
	# A process that has not ended by then would keep its port.
	local waited=0
	while ((waited < 100)) && [[ -n $(jobs -pr) ]]; do
		sleep 0.2
		waited=$((waited + 1))
	done
	for pid in "${pids[@]}"; do
		if kill -9 "$pid" 2>/dev/null; then echo "process $pid did not stop in time" >&2; fi
	done
	for pid in "${pids[@]}"; do
		wait "$pid" 2>/dev/null || true
	done
	if [[ -n ${SCALE_KEEP:-} ]]; then
		echo "logs are in $folder" >&2
	else
		rm -rf "$folder"
	fi
}
trap stop EXIT
trap 'exit 130' INT TERM

# start ROLE NAME FOLLOWERS ADDRESS METRICS ZONE PROGRAM ARGUMENTS...
start() {
	local role=$1 name=$2 followers=$3 address=$4 metrics=$5 zone=$6
	shift 6
	"$@" >"$folder/$name.log" 2>&1 &
	pids+=($!)
	printf '{"role":"%s","name":"%s","region":%d,"zone":"%s","pid":%d,"followers":%d,"address":"%s","metrics":"%s"}\n' \
		"$role" "$name" "$region" "$zone" $! "$followers" "$address" "$metrics" >>"$folder/processes"
}

next_address() {
	address=127.0.0.1:$port
	port=$((port + 1))
}

# share TOTAL: what falls to the region; the first ones take the rest.
share() { echo $(($1 / regions + (region < $1 % regions ? 1 : 0))); }

start_control() {
	local id control=() voter_options=()
	for ((id = 1; id <= voters; id++)); do
		next_address
		control+=("$address")
		voter_options+=(--voter "$id=$address")
	done
	for ((id = 1; id <= voters; id++)); do
		next_address
		start control "${prefix}control-$id" 0 "${control[id - 1]}" "$address" "${zone_names[(id - 1) % ${#zone_names[@]}]}" \
			"$bin/martenstage" control --id "$id" --data-folder "$folder/${prefix}control-$id" --listen "${control[id - 1]}" \
			--metrics-listen "$address" --platform "$platform" --insecure-plaintext --log-level warning "${voter_options[@]}"
	done
	upstreams=()
	for one in "${control[@]}"; do upstreams+=(--upstream "$one"); done
}

start_relays() {
	local index listen zone
	relay_options=() router_options=()
	for ((index = 0; index < $(share "$relays"); index++)); do
		next_address
		listen=$address
		next_address
		zone=${zone_names[index % ${#zone_names[@]}]}
		start relay "${prefix}relay-$index" 0 "$listen" "$address" "$zone" \
			"$bin/martenstage" relay --name "${prefix}relay-$index" --zone "$zone" --listen "$listen" \
			--metrics-listen "$address" --insecure-plaintext --log-level warning "${upstreams[@]}"
		relay_options+=(--relay "$listen")
		if ((index % ${#zone_names[@]} == 0 || regions > 1)); then router_options+=(--upstream "$listen"); fi
	done
}

# single NAME: a hollow follower in a process of its own.
single() {
	next_address
	start single "$1" 0 "$address" "$address" "${zone_names[0]}" \
		"$bin/martenbench" hollow --name "$1" --followers 1 --zone "${zone_names[0]}" --metrics-listen "$address" "${relay_options[@]}"
}

# A real router is started like any; a probe interval of an hour leaves only
# what following control costs.
real_router() {
	local name=$1
	shift
	next_address
	local callers=$address
	next_address
	start router "$name" 0 "$address" "$callers" "${zone_names[0]}" \
		"$bin/martenstage" router --name "$name" --zone "${zone_names[0]}" --callers-listen "$callers" --peers-listen "$address" \
		--insecure-plaintext --log-level warning "${router_options[@]}" "$@"
}

start_real_routers() {
	local index
	for ((index = 0; index < ${SCALE_REAL:-1}; index++)); do real_router "router-$index"; done
	for ((index = 0; index < ${SCALE_QUIET:-1}; index++)); do real_router "quiet-$index" --probe-interval 1h; done
	for ((index = 0; index < ${SCALE_SINGLE:-0}; index++)); do single "single-$index"; done
}

start_hollow() {
	local index count own processes zone_options=(--zones "$zones") limit=()
	own=$(share "$routers")
	if ((regions > 1)); then
		zone_options=(--services "region-$region-")
		for one in "${zone_names[@]}"; do zone_options+=(--zone "$one"); done
	fi
	if [[ -n ${SCALE_MEMORY:-} ]]; then limit=(env "GOMEMLIMIT=$SCALE_MEMORY"); fi
	processes=$(((own + per_process - 1) / per_process))
	for ((index = 0; index < processes; index++)); do
		count=$((own / processes + (index < own % processes ? 1 : 0)))
		next_address
		start hollow "${prefix}hollow-$index" "$count" "$address" "$address" "" \
			"${limit[@]}" "$bin/martenbench" hollow --name "${prefix}hollow-$index" --followers "$count" "${zone_options[@]}" \
			--metrics-listen "$address" --seed "$((region * 1000 + index + 1))" "${relay_options[@]}"
	done
}

platforms=()
for ((region = 0; region < regions; region++)); do
	prefix=""
	if ((regions > 1)); then prefix="region-$region-"; fi
	zone_names=()
	for ((zone = region; zone < zones || zone == region; zone += regions)); do zone_names+=("$(printf 'zone-%02d' "$zone")"); done
	next_address
	platform=$address
	platforms+=(--platform-listen "$platform")
	start_control
	start_relays
	if ((region == 0)); then start_real_routers; fi
	start_hollow
done

"$bin/martenbench" scale --processes "$folder/processes" --regions "$regions" --routers "$routers" --servers "$servers" \
	--relays "$relays" --zones "$zones" "${platforms[@]}" "${passed[@]}"
