#!/bin/sh
# Shows the system at work on this machine's loopback: stand-ins of the
# platform and the upstreams, and three hosts. Usage: demo/run.sh [BUILD-DIR]
set -eu

build=${1:-build}
source=$(cd "$(dirname "$0")" && pwd)
cli=$build/coriandertrack/coriandertrack
dir=$(mktemp -d)
pids=""

say() {
	printf '%s\n' "$*"
}

fail() {
	say "FAILED: $*"
	exit 1
}

finish() {
	for pid in $pids; do
		kill -KILL "$pid" 2>/dev/null || true
	done
	rm -rf "$dir"
}
trap finish EXIT
trap 'exit 1' INT TERM

# wait_for WHAT COMMAND...: until the command succeeds, at most 10 s
wait_for() {
	what=$1
	shift
	tries=0
	until "$@" >/dev/null 2>&1; do
		tries=$((tries + 1))
		[ $tries -lt 100 ] || fail "waited too long for $what"
		sleep 0.1
	done
}

# start NAME PROGRAM ARGUMENT...: output to $dir/NAME.out, id to $pid
start() {
	name=$1
	shift
	"$@" >"$dir/$name.out" 2>"$dir/$name.err" &
	pid=$!
	pids="$pids $pid"
	wait_for "$name" grep -q listening "$dir/$name.out"
}

# port NAME [FIELD]: a port from the line that the program printed
port() {
	if [ $# -eq 1 ]; then
		sed -n 's/^listening \([0-9]*\)$/\1/p' "$dir/$1.out"
	else
		sed -n "s/^listening.* *$2=\([0-9]*\).*/\1/p" "$dir/$1.out"
	fi
}

# call PORT KEY PATH BODY [CURL-ARGUMENT...]: head in $dir/head, body in
# $dir/body, status in $status
call() {
	call_port=$1 call_key=$2 call_path=$3 call_body=$4
	shift 4
	status=$(curl -sN --max-time 10 -o "$dir/body" -D "$dir/head" \
		-w '%{http_code}' -H "Authorization: Bearer $call_key" \
		-H 'Content-Type: application/json' -d "$call_body" "$@" \
		"http://127.0.0.1:$call_port$call_path") || true
}

header() {
	sed -n "s/^$1: \([^\r]*\).*/\1/p" "$dir/head"
}

uuid7() {
	printf '%s\n' "$(date +%s%3N)" | {
		read -r ms
		printf '%08x-%04x-7%03x-8000-%012x\n' $((ms >> 16)) \
			$((ms & 65535)) "$1" $$
	}
}

start_host() {
	cat >"$dir/host-$1.json" <<-END
	// Settings of one host; ports are chosen by the system.
	{
	    "host": "host-$1", "zone": "$2",
	    "caller_address": "127.0.0.1:0",
	    "operator_address": "127.0.0.1:0",
	    "peer_address": "127.0.0.1:0",
	    "platform": "http://127.0.0.1:$(port platform)",
	    "peer_secret": "$secret",
	    "credentials": {"engines": "system-1", "bookings": "system-2"}
	}
	END
	start "host-$1" "$build/coriandertrackd/coriandertrackd" \
		--config "$dir/host-$1.json"
}

chat='{"model":"draft","stream":true,"messages":[{"role":"user","content":"Draft a porter notice."}]}'
secret=$(od -An -N16 -tx1 /dev/urandom | tr -d ' \n')

say "1. Starting stand-ins (platform, two engines, a booking service), three hosts."
start platform "$build/t/fake/fake-platform" --port 0
start engine-1 "$build/t/fake/fake-engine" --port 0
start engine-2 "$build/t/fake/fake-engine" --port 0
start plain "$build/t/fake/fake-plain" --port 0
start_host 1 Ikeja
pid1=$pid
start_host 2 Yaba
pid2=$pid
start_host 3 Lekki
pid3=$pid

say "2. Publishing the service files of demo/services to the platform's log."
mkdir "$dir/services"
edit="s/@ENGINE1@/$(port engine-1)/;s/@ENGINE2@/$(port engine-2)/"
edit="$edit;s/@PLAIN@/$(port plain)/"
for i in 1 2 3; do
	peers=$(port host-$i peers)
	# A build without links between hosts prints port 0.
	[ "$peers" -ne 0 ] || peers=$i
	edit="$edit;s/@CALLERS$i@/$(port host-$i callers)/"
	edit="$edit;s/@OPERATORS$i@/$(port host-$i operators)/"
	edit="$edit;s/@PEERS$i@/$peers/"
done
for file in "$source"/services/*.json; do
	sed "$edit" "$file" >"$dir/services/$(basename "$file")"
done
platform=--platform=http://127.0.0.1:$(port platform)
"$cli" publish "$dir/services" "$platform" | sed 's/^/   /'
law=$("$cli" key grant law-faculty --label=law "$platform" 2>/dev/null)
union=$("$cli" key grant student-union --label=union "$platform" 2>/dev/null)
for i in 1 2 3; do
	wait_for "host-$i" curl -sf "http://127.0.0.1:$(port host-$i operators)/health"
	until_known() {
		call "$(port host-$i callers)" "$union" /v1/chat/completions "$chat"
		[ "$status" = 200 ]
	}
	wait_for "the keys on host-$i" until_known
done
say "   Any host tells callers which ones to use:"
curl -s "http://127.0.0.1:$(port host-2 callers)/v1/addresses" | sed 's/^/   /'
say ""

say "3. A streamed chat completion through host-1."
call "$(port host-1 callers)" "$union" /v1/chat/completions "$chat"
[ "$status" = 200 ] || fail "status $status"
grep -q 'data: \[DONE\]' "$dir/body" || fail "the stream is not whole"
say "   status $status, $(grep -c '"content"' "$dir/body") tokens, ended by [DONE]; request $(header X-Request-Id)"

say "4. A booking, which must not run twice, through host-2; then its repeat through host-3."
key=$(uuid7 1)
call "$(port host-2 callers)" "$law" /bookings/confirm '{"hall":"B"}' -H "Idempotency-Key: $key"
[ "$status" = 200 ] || fail "status $status: $(cat "$dir/body")"
say "   first:  status $status, $(cat "$dir/body")"
call "$(port host-3 callers)" "$law" /bookings/confirm '{"hall":"B"}' -H "Idempotency-Key: $key"
[ "$status" = 409 ] || fail "the repeat was not turned away: status $status"
say "   repeat: status $status, $(cat "$dir/body")"

say "5. A refusal: the student union may not book. Nothing ran, and it says so."
call "$(port host-1 callers)" "$union" /bookings/confirm '{"hall":"B"}' -H "Idempotency-Key: $(uuid7 2)"
[ "$status" = 403 ] || fail "status $status"
say "   status $status, $(cat "$dir/body")"
refused=$(header X-Request-Id)
explain() {
	"$cli" explain "$refused" --host="127.0.0.1:$(port host-2 operators)" >"$dir/explain"
}
wait_for "the explanation on another host" explain
say "   Another host explains it later:"
sed 's/^/   /' "$dir/explain"

say "6. Killing host-1. Callers go on through host-2."
kill -KILL "$pid1"
call "$(port host-2 callers)" "$union" /v1/chat/completions "$chat"
[ "$status" = 200 ] && grep -q 'data: \[DONE\]' "$dir/body" || fail "status $status"
say "   status $status, $(grep -c '"content"' "$dir/body") tokens, ended by [DONE]"

say "7. Withdrawing the student union's key."
"$cli" key withdraw union "$platform" | sed 's/^/   /'
for i in 2 3; do
	withdrawn() {
		call "$(port host-$i callers)" "$union" /v1/chat/completions "$chat"
		[ "$status" = 401 ]
	}
	wait_for "the withdrawal on host-$i" withdrawn
	say "   host-$i: status $status, $(header X-Refusal)"
done

say "8. Stopping host-2 in the middle of a slow stream: the stream is finished first."
for i in 1 2; do
	curl -sf -o /dev/null -d '{"token_ms":100,"tokens":20}' \
		"http://127.0.0.1:$(port engine-$i)/fake/set"
done
curl -sN --max-time 20 -H "Authorization: Bearer $law" -d "$chat" \
	"http://127.0.0.1:$(port host-2 callers)/v1/chat/completions" \
	>"$dir/last" &
last=$!
wait_for "the stream" grep -q content "$dir/last"
! grep -q 'data: \[DONE\]' "$dir/last" || fail "the stream was over too soon"
kill -TERM "$pid2" "$pid3"
wait "$last" || fail "the stream was cut"
grep -q 'data: \[DONE\]' "$dir/last" || fail "the stream is not whole"
wait "$pid2" || fail "host-2 ended with $?"
wait "$pid3" || fail "host-3 ended with $?"
say "   $(grep -c '"content"' "$dir/last") tokens, ended by [DONE]; both hosts ended with status 0"

say "Shown: a streamed answer, a booking that ran once, an honest refusal and its"
say "explanation, the loss of a host, a withdrawn key, and a stop that cut nothing."
