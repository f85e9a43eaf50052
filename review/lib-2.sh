# Functions of the scripts of this review. A script sets $record to the
# record.txt of its folder and sources this file.
#
# A deployment is one or more hosts of the deploy file with the settings that
# its template renders for the site minder-vakfi, the project's fake store,
# and runners. TROUBLE=0 leaves the disruption out.

root=$(cd "$(dirname "$0")/../.." && pwd)
trouble=${TROUBLE:-1}
tools=$root/target/review-2
daemon=$root/target/coriandertrackd/coriandertrackd
work=
started=

# The names of headers that the stand-ins use.
export HEADER_EXPECT=Expect-Instance HEADER_INSTANCE=Instance-Id
export HEADER_PROOF=Runner-Signature HEADER_DEADLINE=Deadline-Ms
export HEADER_NOT_RUN=Not-Executed

say() {
	echo "$*" | tee -a "$record"
}

# Ends the script as one that could not run.
cannot_run() {
	say "cannot run: $*"
	exit 2
}

stop_all() {
	for pid in $started; do
		kill -KILL "$pid" 2>/dev/null || true
	done
	for pid in $started; do
		wait "$pid" 2>/dev/null || true
	done
	started=
}

clean_up() {
	stop_all
	[ -z "$work" ] || rm -rf "$work"
}

begin() {
	: >"$record"
	for program in "$daemon" "$tools/fake-store" "$tools/request"; do
		[ -x "$program" ] || [ -x "$tools/t/fake/$(basename "$program")" ] ||
			cannot_run "$(basename "$program") is not built"
	done
	trap clean_up EXIT
	trap 'exit 2' INT TERM
	work=$(mktemp -d)
	say "TROUBLE=$trouble"
}

# start NAME COMMAND...: starts a process and waits until it listens. Sets
# pid, and line to what it printed.
start() {
	name=$1
	shift
	: >"$work/$name.out"
	"$@" >"$work/$name.out" 2>"$work/$name.err" &
	pid=$!
	started="$started $pid"
	tries=0
	while ! grep -q '^listening' "$work/$name.out"; do
		tries=$((tries + 1))
		[ $tries -lt 200 ] || cannot_run "$name does not start"
		sleep 0.05
	done
	line=$(grep -m 1 '^listening' "$work/$name.out")
}

# is_alive PID: whether the process runs; one that ended counts as dead even
# before it is waited for.
is_alive() {
	state=$(sed 's/.*) //; s/ .*//' "/proc/$1/stat" 2>/dev/null) || return 1
	[ -n "$state" ] && [ "$state" != Z ]
}

put() {
	"$tools/request" -d "$3" POST "$store_port" \
		"/fake/put?topic=$1&key=$2" >/dev/null ||
		cannot_run "the store takes no entry"
}

start_store() {
	start store "$tools/t/fake/fake-store" --port 0
	store_port=${line#listening }
}

# start_runner ID DELAY_MS: starts a runner and enters it in the store.
start_runner() {
	start "$1" "$tools/runner" "$1" "$work/runs.txt" "$2"
	put keyed.servers "$1" "{\"service\":\"app\",\
\"addr\":\"127.0.0.1:${line#listening }\",\"zone\":\"kayseri\",\
\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"coldLeftMs\":0,\
\"born\":1780000000000,\"seq\":1}"
}

route() {
	echo "{\"name\":\"$1\",\"host\":\"svc.example\",\
\"pathPrefix\":\"/$1/\",\"type\":\"$2\",\"timeoutMs\":8000,\"sloMs\":1000,\
\"priority\":2,\"service\":\"app\",\"attempts\":1,\"public\":false,\
\"sticky\":false}"
}

# put_config VERSION [BODY_BYTES]: limits are those that the operator of the
# site sets, but for BODY_BYTES.
put_config() {
	put keyed.op config "{\"version\":$1,\"limits\":{\"maxHeaderBytes\":16384,\
\"maxBodyBytes\":${2:-4194304},\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\
\"services\":[{\"name\":\"app\",\"healthPath\":\"/healthz\",\
\"maxConns\":370}],\"tenants\":[{\"name\":\"acme\",\"apiKeys\":[\"k1\"]}],\
\"routes\":[$(route any safe),$(route once unsafe)]}"
}

# Settings as deploy/settings.json.in renders them for a machine of 110 MB.
write_settings() {
	cat >"$work/settings.json" <<END
{
  "host": "edge-kayseri-1",
  "zone": "kayseri",
  "caller_address": "127.0.0.1:0",
  "guide_address": "127.0.0.1:0",
  "ready_address": "127.0.0.1:0",
  "operator_address": "127.0.0.1:0",
  "peer_address": "127.0.0.1:0",
  "peer_secret": "links-between-hosts",
  "store": "127.0.0.1:$store_port",
  "duties": "127.0.0.1:$store_port",
  "share_load": true,
  "share_config": true,
  "skip_unreachable_zones": true,
  "bounds": {
    "revoke_ms": 5000, "drain_ms": 2000, "config_ms": 2000,
    "steady_ms": 3000, "lease_ms": 3000, "repeat_ratio": 0.2,
    "repeat_burst": 56, "repeat_window_s": 10, "usage_window_s": 5,
    "usage_late_s": 10, "grace_s": 8, "memory_mb": 110,
    "member_ttl_min_ms": 1000, "address_ttl_s": 2
  }
}
END
}

# port_of NAME: the port that the host printed under that name.
port_of() {
	echo "$line" | sed "s/.*$1=\([0-9]*\).*/\1/"
}

is_ready() {
	[ "$("$tools/request" -t 1000 GET "$ready_port" /v1/readyz |
		cut -d' ' -f1)" = 200 ]
}

# Starts the host with the deploy file's command, and waits until it is ready.
# Sets host_pid and the ports.
start_host() {
	start host "$daemon" --relay --config "$work/settings.json"
	host_pid=$pid
	caller_port=$(port_of callers)
	guide_port=$(port_of guide)
	ready_port=$(port_of ready)
	tries=0
	until is_ready; do
		tries=$((tries + 1))
		[ $tries -lt 200 ] || cannot_run "the host is not ready"
		sleep 0.05
	done
}

# call ID PATH TIMEOUT_MS: makes a call; prints status, bytes, end, ms.
call() {
	"$tools/request" -t "$3" -H 'Host: svc.example' -H 'Key: k1' \
		-H "Request-Id: $1" -H "Deadline-Ms: $3" -d '{}' \
		POST "$caller_port" "$2" || true
}

# start_deployment DELAY_MS [BODY_BYTES]: starts a whole deployment, whose two
# runners answer after DELAY_MS.
start_deployment() {
	: >"$work/runs.txt"
	start_store
	start_runner run-0 "$1"
	start_runner run-1 "$1"
	put_config 1 "${2:-}"
	write_settings
	start_host
}

# finish BROKEN: ends the script with the result.
finish() {
	if [ "$1" -gt 0 ]; then
		say "result: the rule was broken"
		exit 1
	fi
	say "result: the rule held"
	exit 0
}
