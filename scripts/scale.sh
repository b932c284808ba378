#!/usr/bin/env bash
# Starts control, relays, hollow followers and a few real routers as plain
# processes on 127.0.0.1, measures them with `martenbench scale`, and ends
# exactly those processes. Prints the result of `martenbench scale`.
#
#   scripts/scale.sh --routers 250 --servers 1000 --relays 4 [--json] [...]
#
# Further options are passed on to `martenbench scale`. Environment:
#   SCALE_BIN      folder of the programs (default: bin)
#   SCALE_VOTERS   control voters (default: 3)
#   SCALE_REAL     real routers that probe their back ends (default: 1)
#   SCALE_QUIET    real routers that probe only once an hour (default: 1)
#   SCALE_ZONES    zones of relays and followers (default: one for two relays)
#   SCALE_PORT     first port (default: 21000)
#   SCALE_KEEP     keep the folder with the logs when set
set -euo pipefail

routers=250 servers=1000 relays=4
passed=()
while (($#)); do
	case $1 in
	--routers) routers=$2; shift 2 ;;
	--servers) servers=$2; shift 2 ;;
	--relays) relays=$2; shift 2 ;;
	*) passed+=("$1"); shift ;;
	esac
done

bin=${SCALE_BIN:-bin}
voters=${SCALE_VOTERS:-3}
zones=${SCALE_ZONES:-$(((relays + 1) / 2))}
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

# start ROLE NAME FOLLOWERS ADDRESS METRICS PROGRAM ARGUMENTS...
start() {
	local role=$1 name=$2 followers=$3 address=$4 metrics=$5
	shift 5
	"$@" >"$folder/$name.log" 2>&1 &
	pids+=($!)
	printf '{"role":"%s","name":"%s","pid":%d,"followers":%d,"address":"%s","metrics":"%s"}\n' \
		"$role" "$name" $! "$followers" "$address" "$metrics" >>"$folder/processes"
}

next_address() {
	address=127.0.0.1:$port
	port=$((port + 1))
}

next_address
platform=$address
control=() voter_options=()
for ((id = 1; id <= voters; id++)); do
	next_address
	control+=("$address")
	voter_options+=(--voter "$id=$address")
done
for ((id = 1; id <= voters; id++)); do
	next_address
	start control "control-$id" 0 "${control[id - 1]}" "$address" \
		"$bin/martenstage" control --id "$id" --data-folder "$folder/control-$id" --listen "${control[id - 1]}" \
		--metrics-listen "$address" --platform "$platform" --insecure-plaintext --log-level warning "${voter_options[@]}"
done

upstreams=()
for one in "${control[@]}"; do upstreams+=(--upstream "$one"); done
relay_options=() router_options=()
for ((index = 0; index < relays; index++)); do
	next_address
	listen=$address
	next_address
	start relay "relay-$index" 0 "$listen" "$address" \
		"$bin/martenstage" relay --name "relay-$index" --zone "$(printf 'zone-%02d' $((index % zones)))" --listen "$listen" \
		--metrics-listen "$address" --insecure-plaintext --log-level warning "${upstreams[@]}"
	relay_options+=(--relay "$listen")
	((index % zones == 0)) && router_options+=(--upstream "$listen")
done

# A real router is started like any; a probe interval of an hour leaves only
# what following control costs.
real_router() {
	local name=$1
	shift
	next_address
	local callers=$address
	next_address
	start router "$name" 0 "$address" "$callers" \
		"$bin/martenstage" router --name "$name" --zone zone-00 --callers-listen "$callers" --peers-listen "$address" \
		--insecure-plaintext --log-level warning "${router_options[@]}" "$@"
}
for ((index = 0; index < ${SCALE_REAL:-1}; index++)); do real_router "router-$index"; done
for ((index = 0; index < ${SCALE_QUIET:-1}; index++)); do real_router "quiet-$index" --probe-interval 1h; done

processes=$(((routers + per_process - 1) / per_process))
for ((index = 0; index < processes; index++)); do
	count=$((routers / processes + (index < routers % processes ? 1 : 0)))
	next_address
	start hollow "hollow-$index" "$count" "$address" "$address" \
		"$bin/martenbench" hollow --name "hollow-$index" --followers "$count" --zones "$zones" \
		--metrics-listen "$address" --seed "$((index + 1))" "${relay_options[@]}"
done

"$bin/martenbench" scale --processes "$folder/processes" --routers "$routers" --servers "$servers" \
	--relays "$relays" --zones "$zones" --platform-listen "$platform" "${passed[@]}"
