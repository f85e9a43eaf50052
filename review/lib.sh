# Functions of the scripts of the cases. A script goes to the root of the
# repository, sets $record to the record.txt of its folder, empties it and sources
# this file. Everything that it starts is ended when it ends.

tools=target/review
store_program=$tools/project/t/fake/fake-store
dir=$(mktemp -d)
pids=""

# The names of headers that the stand-ins use.
export HEADER_EXPECT=Expect-Instance HEADER_INSTANCE=Instance-Id
export HEADER_PROOF=Runner-Signature HEADER_DEADLINE=Deadline-Ms
export HEADER_TOKENS=Token-Count HEADER_PARTS=Prefix-Hash

note() {
	printf '%s\n' "$*" | tee -a "$record"
}

end_processes() {
	for pid in $pids; do
		kill -KILL "$pid" 2>/dev/null || true
	done
	# Programs that a background part of a script started again.
	for file in "$dir"/*.pid; do
		[ ! -s "$file" ] || kill -KILL "$(cat "$file")" 2>/dev/null || true
	done
	wait 2>/dev/null || true
	rm -rf "$dir"
}
trap end_processes EXIT
trap 'exit 2' INT TERM

# cannot_run WHAT: ends the script as not run
cannot_run() {
	note "not run: $*"
	exit 2
}

# start NAME PROGRAM ARGUMENT...: starts a program, waits until it listens and
# sets $pid
start() {
	name=$1
	shift
	"$@" >"$dir/$name.out" 2>"$dir/$name.err" &
	pid=$!
	pids="$pids $pid"
	tries=0
	until grep -q '^listening' "$dir/$name.out"; do
		tries=$((tries + 1))
		[ $tries -lt 100 ] || cannot_run "$name did not start"
		sleep 0.05
	done
}

# port_of NAME [FIELD]: prints a port of the program's first line
port_of() {
	if [ $# -eq 1 ]; then
		sed -n 's/^listening \([0-9]*\)$/\1/p' "$dir/$1.out"
	else
		sed -n "s/^listening.* $2=\([0-9]*\).*/\1/p" "$dir/$1.out"
	fi
}

# put TOPIC KEY FILE: writes a record as the operator and the runners do
put() {
	"$tools/caller" "$(port_of store)" POST "/fake/put?topic=$1&key=$2" \
		file="$3" >/dev/null || cannot_run "the store refused $2"
}

# put_runner ID SERVICE: enters a runner that was started under the name ID
put_runner() {
	cat >"$dir/entry" <<-END
	{"service":"$2","addr":"127.0.0.1:$(port_of "$1")","zone":"kayseri",
	"version":"v1","slots":64,"state":"ready","coldLeftMs":0,"phase":"both",
	"models":[{"name":"m","version":1,"adapters":[]}],"seq":1}
	END
	put keyed.servers "$1" "$dir/entry"
}

# write_settings NAME: what the template of the deploy file gives for a host
# with the bounds of the small deployments
write_settings() {
	cat >"$dir/$1.conf" <<-END
	{
	  "host": "$1", "zone": "kayseri",
	  "caller_address": "127.0.0.1:0", "guide_address": "127.0.0.1:0",
	  "ready_address": "127.0.0.1:0", "operator_address": "127.0.0.1:0",
	  "peer_address": "127.0.0.1:0", "peer_secret": "links-between-hosts",
	  "store": "127.0.0.1:$(port_of store)",
	  "duties": "127.0.0.1:$(port_of store)",
	  "first_start": true,
	  "bounds": {
	    "revoke_ms": 5000, "drain_ms": 2000, "config_ms": 2000,
	    "steady_ms": 3000, "lease_ms": 3000, "repeat_ratio": 0.2,
	    "repeat_burst": 56, "repeat_window_s": 10, "usage_window_s": 5,
	    "usage_late_s": 10, "grace_s": 8, "member_ttl_min_ms": 1000,
	    "address_ttl_s": 2
	  }
	}
	END
}

# is_ready NAME: whether the host answers its readiness check with 200
is_ready() {
	"$tools/caller" "$(port_of "$1" ready)" GET /v1/readyz wait=2 |
		grep -q 'status=200'
}

# start_host NAME: starts the deploy file's role, waits until it is ready and
# sets $pid
start_host() {
	start "$1" target/coriandertrackd/coriandertrackd --relay \
		--config "$dir/$1.conf"
	tries=0
	until is_ready "$1"; do
		tries=$((tries + 1))
		[ $tries -lt 60 ] || return 1
		sleep 0.1
	done
}

for program in $store_program $tools/runner $tools/caller $tools/load $tools/pair \
	target/coriandertrackd/coriandertrackd; do
	[ -x "$program" ] || cannot_run "$program is not built"
done
