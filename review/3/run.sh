#!/bin/sh
# Case 3: a configuration that removes the only tenant and so takes its key away.
# Two hosts, one runner.
set -u
cd "$(dirname "$0")/../.."
record=review/3/record.txt
: >"$record"
trouble=${TROUBLE:-1}
. review/lib.sh

# revokeMs is 5 s.
wait_s=8

start store "$store_program" --port 0
start i-1 $tools/runner i-1 "$dir/runs" whole 800 30
put_runner i-1 desk

# write_config VERSION TENANTS
write_config() {
	cat >"$dir/config" <<-END
	{"version":$1,"routes":[{"name":"r-order","host":"guild.example",
	"pathPrefix":"/order/","type":"unsafe","timeoutMs":2500,"sloMs":150,
	"priority":2,"service":"desk","attempts":1,"public":false,"sticky":false}],
	"services":[{"name":"desk","healthPath":"/healthz","maxConns":110,
	"protocol":"h1","tls":false}],
	"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,
	"headerTimeoutMs":3000,"idleTimeoutMs":15000},
	"tenants":[$2]}
	END
	put keyed.op config "$dir/config"
	note "$(date +%s%3N) version $1 acked: tenants [$2]"
}

# send HOST ID KEY
send() {
	line=$($tools/caller "$(port_of "$1" callers)" POST /order/a id="$2" key="$3" \
		deadline=2500 wait=4)
	note "$1: $line (key $3)"
}

weavers='{"name":"weavers","apiKeys":["key-taken"],"priority":1}'
# Without the disruption a tenant remains beside the one that is removed.
fillers='{"name":"fillers","apiKeys":["key-kept"],"priority":1}'
before=$weavers after=""
[ "$trouble" != 0 ] || { before=$weavers,$fillers after=$fillers; }

write_config 1 "$before"
for host in h1 h2; do
	write_settings $host
	start_host $host || cannot_run "$host is not ready"
	send $host before-$host key-taken
	send $host refused-$host key-never-held
done
write_config 2 "$after"
sleep $wait_s
for host in h1 h2; do
	send $host taken-$host key-taken
	send $host never-$host key-never-held
done

cat "$dir/runs" >>review/3/record.txt
grep -q 'runs before-h1 ' "$dir/runs" || cannot_run "no request was served"
! grep -q 'runs refused-' "$dir/runs" || cannot_run "version 1 admits every key"
never=$(grep -c ' runs never-' "$dir/runs")
taken=$(grep -c ' runs taken-' "$dir/runs")
note "ROUTE: ran with a key that no configuration ever held: $never of 2"
note "CONFIG: ran with the key that was taken away, ${wait_s} s after the ack: $taken of 2"
[ "$never" = 0 ] && [ "$taken" = 0 ] || exit 1
exit 0
