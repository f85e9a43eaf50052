#!/bin/sh
# Runs three hosts against fakes of the platform and the upstreams on the
# loopback interface. Usage: demo/run.sh [BUILD-DIR]
set -eu

build=${1:-build}
source=$(cd "$(dirname "$0")" && pwd)
cli=$build/coriandertrack/coriandertrack
dir=$(mktemp -d)
pids=""

print_line() {
	printf '%s\n' "$*"
}

die() {
	print_line "FAILED: $*"
	exit 1
}

clean_up() {
	for pid in $pids; do
		kill -KILL "$pid" 2>/dev/null || true
	done
	rm -rf "$dir"
}
trap clean_up EXIT
trap 'exit 1' INT TERM

# wait_for WHAT COMMAND...: retries COMMAND until it succeeds, for 10 s at most
wait_for() {
	what=$1
	shift
	tries=0
	until "$@" >/dev/null 2>&1; do
		tries=$((tries + 1))
		[ $tries -lt 100 ] || die "timed out waiting for $what"
		sleep 0.1
	done
}

# start_process NAME PROGRAM ARGUMENT...: waits until the program listens; writes
# its output to $dir/NAME.out and sets $pid
start_process() {
	name=$1
	shift
	"$@" >"$dir/$name.out" 2>"$dir/$name.err" &
	pid=$!
	pids="$pids $pid"
	wait_for "$name" grep -q listening "$dir/$name.out"
}

# listening_port NAME [FIELD]: prints a port from the program's "listening" line
listening_port() {
	if [ $# -eq 1 ]; then
		sed -n 's/^listening \([0-9]*\)$/\1/p' "$dir/$1.out"
	else
		sed -n "s/^listening.* *$2=\([0-9]*\).*/\1/p" "$dir/$1.out"
	fi
}

# call_host PORT KEY PATH BODY [CURL-ARGUMENT...]: writes the response's header to
# $dir/head and its body to $dir/body, and sets $status
call_host() {
	call_port=$1 call_key=$2 call_path=$3 call_body=$4
	shift 4
	status=$(curl -sN --max-time 10 -o "$dir/body" -D "$dir/head" \
		-w '%{http_code}' -H "Authorization: Bearer $call_key" \
		-H 'Content-Type: application/json' -d "$call_body" "$@" \
		"http://127.0.0.1:$call_port$call_path") || true
}

response_header() {
	sed -n "s/^$1: \([^\r]*\).*/\1/p" "$dir/head"
}

new_uuid7() {
	printf '%s\n' "$(date +%s%3N)" | {
		read -r ms
		printf '%08x-%04x-7%03x-8000-%012x\n' $((ms >> 16)) \
			$((ms & 65535)) "$1" $$
	}
}

start_host() {
	cat >"$dir/host-$1.json" <<-END
	// Settings of one host. Port 0 lets the kernel choose a port.
	{
	    "host": "host-$1", "zone": "$2",
	    "caller_address": "127.0.0.1:0",
	    "operator_address": "127.0.0.1:0",
	    "peer_address": "127.0.0.1:0",
	    "platform": "http://127.0.0.1:$(listening_port platform)",
	    "peer_secret": "$secret",
	    "credentials": {"engines": "system-1", "bookings": "system-2"}
	}
	END
	start_process "host-$1" "$build/coriandertrackd/coriandertrackd" \
		--config "$dir/host-$1.json"
}

chat='{"model":"draft","stream":true,"messages":[{"role":"user","content":"Draft a porter notice."}]}'
secret=$(od -An -N16 -tx1 /dev/urandom | tr -d ' \n')

print_line "1. Starting fakes (platform, two engines, a booking service) and three hosts."
start_process platform "$build/t/fake/fake-platform" --port 0
start_process engine-1 "$build/t/fake/fake-engine" --port 0
start_process engine-2 "$build/t/fake/fake-engine" --port 0
start_process plain "$build/t/fake/fake-plain" --port 0
start_host 1 Ikeja
pid1=$pid
start_host 2 Yaba
pid2=$pid
start_host 3 Lekki
pid3=$pid

print_line "2. Publishing the service files of demo/services to the platform's log."
mkdir "$dir/services"
edit="s/@ENGINE1@/$(listening_port engine-1)/;s/@ENGINE2@/$(listening_port engine-2)/"
edit="$edit;s/@PLAIN@/$(listening_port plain)/"
for i in 1 2 3; do
	peers=$(listening_port host-$i peers)
	# Port 0 means that the build has no links between hosts.
	[ "$peers" -ne 0 ] || peers=$i
	edit="$edit;s/@CALLERS$i@/$(listening_port host-$i callers)/"
	edit="$edit;s/@OPERATORS$i@/$(listening_port host-$i operators)/"
	edit="$edit;s/@PEERS$i@/$peers/"
done
for file in "$source"/services/*.json; do
	sed "$edit" "$file" >"$dir/services/$(basename "$file")"
done
platform=--platform=http://127.0.0.1:$(listening_port platform)
"$cli" publish "$dir/services" "$platform" | sed 's/^/   /'
law=$("$cli" key grant law-faculty --label=law "$platform" 2>/dev/null)
union=$("$cli" key grant student-union --label=union "$platform" 2>/dev/null)
for i in 1 2 3; do
	wait_for "host-$i" curl -sf "http://127.0.0.1:$(listening_port host-$i operators)/health"
	key_is_accepted() {
		call_host "$(listening_port host-$i callers)" "$union" /v1/chat/completions "$chat"
		[ "$status" = 200 ]
	}
	wait_for "host-$i to accept the key" key_is_accepted
done
print_line "   Every host serves the list of hosts to callers:"
curl -s "http://127.0.0.1:$(listening_port host-2 callers)/v1/addresses" | sed 's/^/   /'
print_line ""

print_line "3. A streamed chat completion through host-1."
call_host "$(listening_port host-1 callers)" "$union" /v1/chat/completions "$chat"
[ "$status" = 200 ] || die "status $status"
grep -q 'data: \[DONE\]' "$dir/body" || die "the stream is incomplete"
print_line "   status $status, $(grep -c '"content"' "$dir/body") tokens, ended by [DONE]; request $(response_header X-Request-Id)"

print_line "4. A booking, which must not run twice, through host-2; then its repeat through host-3."
key=$(new_uuid7 1)
call_host "$(listening_port host-2 callers)" "$law" /bookings/confirm '{"hall":"B"}' -H "Idempotency-Key: $key"
[ "$status" = 200 ] || die "status $status: $(cat "$dir/body")"
print_line "   first:  status $status, $(cat "$dir/body")"
call_host "$(listening_port host-3 callers)" "$law" /bookings/confirm '{"hall":"B"}' -H "Idempotency-Key: $key"
[ "$status" = 409 ] || die "the repeat was not refused: status $status"
print_line "   repeat: status $status, $(cat "$dir/body")"

print_line "5. A refusal: the student union may not book. The body says that nothing ran."
call_host "$(listening_port host-1 callers)" "$union" /bookings/confirm '{"hall":"B"}' -H "Idempotency-Key: $(new_uuid7 2)"
[ "$status" = 403 ] || die "status $status"
print_line "   status $status, $(cat "$dir/body")"
refused=$(response_header X-Request-Id)
explain_refusal() {
	"$cli" explain "$refused" --host="127.0.0.1:$(listening_port host-2 operators)" >"$dir/explain"
}
wait_for "the explanation on another host" explain_refusal
print_line "   Another host explains it later:"
sed 's/^/   /' "$dir/explain"

print_line "6. Killing host-1. Callers continue through host-2."
kill -KILL "$pid1"
call_host "$(listening_port host-2 callers)" "$union" /v1/chat/completions "$chat"
[ "$status" = 200 ] && grep -q 'data: \[DONE\]' "$dir/body" || die "status $status"
print_line "   status $status, $(grep -c '"content"' "$dir/body") tokens, ended by [DONE]"

print_line "7. Withdrawing the student union's key."
"$cli" key withdraw union "$platform" | sed 's/^/   /'
for i in 2 3; do
	key_is_refused() {
		call_host "$(listening_port host-$i callers)" "$union" /v1/chat/completions "$chat"
		[ "$status" = 401 ]
	}
	wait_for "the withdrawal on host-$i" key_is_refused
	print_line "   host-$i: status $status, $(response_header X-Refusal)"
done

print_line "8. Stopping host-2 in the middle of a slow stream: the stream is finished first."
for i in 1 2; do
	curl -sf -o /dev/null -d '{"token_ms":100,"tokens":20}' \
		"http://127.0.0.1:$(listening_port engine-$i)/fake/set"
done
curl -sN --max-time 20 -H "Authorization: Bearer $law" -d "$chat" \
	"http://127.0.0.1:$(listening_port host-2 callers)/v1/chat/completions" \
	>"$dir/last" &
last=$!
wait_for "the stream" grep -q content "$dir/last"
! grep -q 'data: \[DONE\]' "$dir/last" || die "the stream ended too early"
kill -TERM "$pid2" "$pid3"
wait "$last" || die "the stream was truncated"
grep -q 'data: \[DONE\]' "$dir/last" || die "the stream is incomplete"
wait "$pid2" || die "host-2 ended with $?"
wait "$pid3" || die "host-3 ended with $?"
print_line "   $(grep -c '"content"' "$dir/last") tokens, ended by [DONE]; both hosts ended with status 0"

print_line "Shown: a streamed response, a booking that ran once, a refusal and its"
print_line "explanation, the loss of a host, a withdrawn key, and a graceful stop."
