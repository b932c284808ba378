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

# stop_router NAME CALLERS_ADDRESS stops a router as planned and records it.
stop_router() {
	local began exited
	began=$(now)
	stop "$1"
	exited=$(now)
	printf '{"router":"%s","began":"%s","exited":"%s"}\n' "$2" "$began" "$exited" >>"$folder/records/stops.jsonl"
}

# replicas FILE prints the addresses of a configuration's back ends.
replicas() { sed -n 's/^[[:space:]]*replica \([0-9.:]*\).*/\1/p' "$1" | sort -u; }
