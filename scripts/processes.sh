# Functions for scripts that run a fleet as plain processes on this machine.
# Sourced by demo.sh and fleet.sh. Every process that is started here is ended
# by its id when the script ends, whatever ends it.

bin=${MARTENSTAGE_BIN:-bin}
declare -A pids=() # by name
started=()         # names in order of start
folder=

fail() {
	echo "$(basename "$0"): $*" >&2
	exit 1
}

# begin PREFIX makes the folder of the run and sees to the end of all processes.
begin() {
	folder=$(mktemp -d "${TMPDIR:-/tmp}/martenstage-$1.XXXXXX")
	mkdir "$folder/logs" "$folder/records" "$folder/settings"
	trap finish EXIT
	trap 'exit 130' INT
	trap 'exit 143' TERM
}

# finish ends what still runs: politely, and by force after ten seconds.
finish() {
	local status=$? name index
	trap '' INT TERM
	for ((index = ${#started[@]} - 1; index >= 0; index--)); do
		name=${started[index]}
		[[ -n ${pids[$name]:-} ]] || continue
		kill -CONT "${pids[$name]}" 2>/dev/null || true
		kill -TERM "${pids[$name]}" 2>/dev/null || true
	done
	for name in "${!pids[@]}"; do await_exit "$name" 10 || kill -KILL "${pids[$name]}" 2>/dev/null || true; done
	wait 2>/dev/null || true
	if ((status != 0)) || [[ -n ${KEEP:-} ]]; then
		echo "settings, logs and records are in $folder" >&2
	else
		rm -rf "$folder"
	fi
	exit "$status"
}

# free_port ADDRESS... fails when something listens there already.
free_port() {
	local address
	for address in "$@"; do
		if (exec 3<>"/dev/tcp/${address%:*}/${address##*:}") 2>/dev/null; then
			fail "$address is in use by another process; end that one, or choose other ports (see the head of this script)"
		fi
	done
}

# start NAME COMMAND... runs a command in the background.
start() {
	local name=$1
	shift
	"$@" >>"$folder/logs/$name.log" 2>&1 &
	pids[$name]=$!
	started+=("$name")
}

# alive NAME says whether the process still runs. A process that has ended but
# was not waited for yet counts as ended.
alive() {
	local state
	state=$(sed 's/^.*) //; s/ .*//' "/proc/${pids[$1]}/stat" 2>/dev/null) || return 1
	[[ -n $state && $state != Z && $state != X ]]
}

# await_exit NAME SECONDS waits for a process to end.
await_exit() {
	local tries=$(($2 * 20))
	while alive "$1"; do
		((tries-- > 0)) || return 1
		sleep 0.05
	done
}

# stop NAME ends a process as planned and requires that it says so.
stop() {
	kill -TERM "${pids[$1]}"
	await_exit "$1" 60 || fail "$1 did not stop within 60 s"
	wait "${pids[$1]}" || fail "$1 ended with status $? instead of stopping as planned: $(tail -n 3 "$folder/logs/$1.log")"
	unset "pids[$1]"
}

# crash NAME ends a process as a loss of power would.
crash() {
	kill -KILL "${pids[$1]}"
	wait "${pids[$1]}" 2>/dev/null || true
	unset "pids[$1]"
}

# require_alive fails with the last log lines of a process that has ended.
require_alive() {
	local name
	for name in "${!pids[@]}"; do
		alive "$name" || fail "$name ended unexpectedly: $(tail -n 3 "$folder/logs/$name.log")"
	done
}

# await_listening NAME ADDRESS waits until the process accepts connections.
await_listening() {
	local tries=300
	until (exec 3<>"/dev/tcp/${2%:*}/${2##*:}") 2>/dev/null; do
		alive "$1" || fail "$1 ended: $(tail -n 3 "$folder/logs/$1.log")"
		((tries-- > 0)) || fail "$1 does not listen on $2 after 15 s"
		sleep 0.05
	done
}

# plan_fleet POLICY PORT CONTROLS RELAYS ROUTERS chooses the addresses of a
# fleet and requires that all are free: ports from PORT on 127.0.0.1 and the
# addresses of the configuration's back ends.
plan_fleet() {
	local index
	policy=$1
	[[ -x $bin/martenstage && -x $bin/martenbench ]] || fail "no programs in $bin; run make build"
	[[ -r $policy ]] || fail "no configuration $policy"
	mapfile -t backends < <(sed -n 's/^[[:space:]]*replica \([0-9.:]*\).*/\1/p' "$policy" | sort -u)
	mapfile -t zones < <(sed -n 's/^[[:space:]]*replica .* zone \([^ ]*\).*/\1/p' "$policy" | sort -u)
	voters=() relays=() callers=() peers=()
	for ((index = 1; index <= $3; index++)); do voters+=("127.0.0.1:$(($2 + index))"); done
	for ((index = 1; index <= $4; index++)); do relays+=("127.0.0.1:$(($2 + 10 + index))"); done
	for ((index = 1; index <= $5; index++)); do
		callers+=("127.0.0.1:$(($2 + 20 + index))")
		peers+=("127.0.0.1:$(($2 + 30 + index))")
	done
	free_port "${voters[@]}" "${relays[@]}" "${callers[@]}" "${peers[@]}" "${backends[@]}"
}

# list ADDRESS... prints a list for a settings file.
list() {
	local joined
	joined=$(printf '"%s", ' "$@")
	echo "[${joined%, }]"
}

# settle LEASE STOP_NOTICE issues keys and writes settings for the whole fleet.
settle() {
	local index numbered=()
	"$bin/martenstage" keys init --folder "$folder/keys" >/dev/null
	issue operator operator
	for index in "${!voters[@]}"; do numbered+=("$((index + 1))=${voters[index]}"); done
	for index in "${!voters[@]}"; do
		issue control "control-$((index + 1))"
		settings "control-$((index + 1))" <<-END
			id: $((index + 1))
			data-folder: $folder/control-$((index + 1))
			listen: ${voters[index]}
			voter: $(list "${numbered[@]}")
			lease: $1
		END
	done
	for index in "${!relays[@]}"; do
		issue relay "relay-$((index + 1))"
		settings "relay-$((index + 1))" <<-END
			name: relay-$((index + 1))
			zone: ${zones[index % ${#zones[@]}]}
			listen: ${relays[index]}
			upstream: $(list "${voters[@]}")
		END
	done
	for index in "${!callers[@]}"; do
		issue router "router-$((index + 1))"
		settings "router-$((index + 1))" <<-END
			name: router-$((index + 1))
			zone: ${zones[index % ${#zones[@]}]}
			callers-listen: ${callers[index]}
			peers-listen: ${peers[index]}
			upstream: $(list "${relays[@]}")
			control: $(list "${voters[@]}")
			data-folder: $folder/router-$((index + 1))
			stop-notice: $2
			stop-quiet: 200ms
			admission-record: $folder/records/admissions-$((index + 1)).jsonl
		END
	done
}

# launch ROLE NUMBER... starts processes by their settings.
launch() {
	local role=$1 number
	shift
	for number in "$@"; do
		start "$role-$number" "$bin/martenstage" "$role" --settings "$folder/settings/$role-$number.yaml"
	done
}

# start_fleet SCRIPT starts the back ends with a script of faults, then control,
# relays and routers, and waits until all listen.
start_fleet() {
	local index
	start backends "$bin/martenbench" backends --policy-file "$policy" --script "$1" \
		--record "$folder/records/backends.jsonl" --log-level warning
	for index in "${!voters[@]}"; do launch control $((index + 1)); done
	for index in "${!relays[@]}"; do launch relay $((index + 1)); done
	for index in "${!callers[@]}"; do launch router $((index + 1)); done
	await_listening backends "${backends[-1]}"
	for index in "${!voters[@]}"; do await_listening "control-$((index + 1))" "${voters[index]}"; done
	for index in "${!relays[@]}"; do await_listening "relay-$((index + 1))" "${relays[index]}"; done
	for index in "${!callers[@]}"; do await_listening "router-$((index + 1))" "${callers[index]}"; done
}

# start_load SECONDS OPTIONS... sends load to all routers.
start_load() {
	local duration=$1 address options=()
	shift
	for address in "${callers[@]}"; do options+=(--router "$address"); done
	start load "$bin/martenbench" load --policy-file "$policy" --duration "${duration}s" --wait-ready 20s \
		"${options[@]}" --record "$folder/records/answers.jsonl" "$@"
}

# await_load SECONDS waits for the end of the load.
await_load() {
	await_exit load "$1" || fail "the load does not end"
	wait "${pids[load]}" || fail "load: $(tail -n 3 "$folder/logs/load.log")"
	unset "pids[load]"
	require_alive
}

# stop_fleet stops everything as planned, callers' side first.
stop_fleet() {
	local index
	for index in "${!callers[@]}"; do stop_router $((index + 1)); done
	for index in "${!relays[@]}"; do stop "relay-$((index + 1))"; done
	for ((index = ${#voters[@]}; index >= 1; index--)); do stop "control-$index"; done
	stop backends
}

# conclude prints the report and the judge's findings; it fails on violations,
# and when a router recorded no admission.
conclude() {
	local index
	for index in "${!callers[@]}"; do
		[[ -s $folder/records/admissions-$((index + 1)).jsonl ]] || fail "router $((index + 1)) recorded no admission"
	done
	"$bin/martenbench" judge --folder "$folder/records" --policy-file "$policy" --report
}

# now prints the time in the form of the records.
now() { date -u +%Y-%m-%dT%H:%M:%S.%NZ; }

# settings NAME writes standard input as the settings file of a process. The
# keys of the process are named in it.
settings() {
	{
		cat
		echo "tls-authority: $folder/keys/authority.crt"
		echo "tls-certificate: $folder/keys/$1.crt"
		echo "tls-key: $folder/keys/$1.key"
	} >"$folder/settings/$1.yaml"
}

# issue ROLE NAME... issues keys for processes on this machine.
issue() {
	local role=$1 name
	shift
	for name in "$@"; do
		"$bin/martenstage" keys issue --folder "$folder/keys" --name "$name" --role "$role" --address 127.0.0.1 --days 2 >/dev/null
	done
}

# operate COMMAND... runs an operator's command with the operator's keys.
operate() {
	local options=() address
	for address in "${voters[@]}"; do options+=(--control "$address"); done
	MARTENSTAGE_TLS_AUTHORITY="$folder/keys/authority.crt" \
		MARTENSTAGE_TLS_CERTIFICATE="$folder/keys/operator.crt" \
		MARTENSTAGE_TLS_KEY="$folder/keys/operator.key" \
		"$bin/martenstage" "$@" "${options[@]}"
}

# apply CHANGE_ID FILE submits a configuration, waits until it is in force and
# records what the operator was told.
apply() {
	local sent received output revision
	sent=$(now)
	output=$(operate config apply --change-id "$1" --wait "$2" 2>&1) || fail "change $1: $output"
	received=$(now)
	sed 's/^/  /' <<<"$output"
	revision=$(sed -n 's/^revision \([0-9]*\) accepted.*/\1/p' <<<"$output")
	printf '{"change_id":"%s","sent":"%s","received":"%s","accepted":true,"revision":%d,"in_force":"%s"}\n' \
		"$1" "$sent" "$received" "$revision" "$received" >>"$folder/records/operators.jsonl"
}

# stop_router NUMBER stops a router as planned and records it.
stop_router() {
	local began exited
	began=$(now)
	stop "router-$1"
	exited=$(now)
	printf '{"router":"%s","began":"%s","exited":"%s"}\n' "${callers[$1 - 1]}" "$began" "$exited" >>"$folder/records/stops.jsonl"
}
