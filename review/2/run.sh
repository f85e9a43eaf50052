#!/bin/sh
# Case 2: a configuration that adds a route with a host name of 73 characters,
# drops a route and takes a key away. Two hosts, one runner.
set -u
cd "$(dirname "$0")/../.."
record=review/2/record.txt
: >"$record"
trouble=${TROUBLE:-1}
. review/lib.sh

# revokeMs and configApplyMs are 5 s and 2 s.
wait_s=8
long_host=order-assistant.pattern-archive.cushion-workshops.anatolian-guild.example

start store "$store_program" --port 0
start i-1 $tools/runner i-1 "$dir/runs" whole 800 30
put_runner i-1 desk

# write_config VERSION KEYS ROUTE...: a ROUTE is NAME,HOST,PREFIX
write_config() {
	version=$1 keys=$2 routes=""
	shift 2
	for route; do
		name=${route%%,*} rest=${route#*,}
		[ -z "$routes" ] || routes="$routes,"
		routes="$routes{\"name\":\"$name\",\"host\":\"${rest%%,*}\",
		\"pathPrefix\":\"${rest#*,}\",\"type\":\"unsafe\",\"timeoutMs\":2500,
		\"sloMs\":150,\"priority\":2,\"service\":\"desk\",\"attempts\":1,
		\"public\":false,\"sticky\":false}"
	done
	cat >"$dir/config" <<-END
	{"version":$version,"routes":[$routes],
	"services":[{"name":"desk","healthPath":"/healthz","maxConns":110,
	"protocol":"h1","tls":false}],
	"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,
	"headerTimeoutMs":3000,"idleTimeoutMs":15000},
	"tenants":[{"name":"weavers","apiKeys":[$keys],"priority":1}]}
	END
	put keyed.op config "$dir/config"
	note "$(date +%s%3N) version $version acked: keys $keys, routes $*"
}

# send HOST ID KEY NAME TARGET
send() {
	line=$($tools/caller "$(port_of "$1" callers)" POST "$5" id="$2" key="$3" \
		host="$4" deadline=2500 wait=4)
	note "$1: $line"
}

write_config 1 '"key-kept","key-taken"' r-order,guild.example,/order/ \
	r-old,guild.example,/old/
for host in h1 h2; do
	write_settings $host
	start_host $host || cannot_run "$host is not ready"
	send $host before-$host key-taken guild.example /order/a
done

added=annex.guild.example
[ "$trouble" = 0 ] || added=$long_host
write_config 2 '"key-kept"' r-order,guild.example,/order/ r-annex,$added,/annex/
sleep $wait_s
for host in h1 h2; do
	send $host taken-$host key-taken guild.example /order/b
	send $host dropped-$host key-kept guild.example /old/c
	send $host added-$host key-kept $added /annex/d
	send $host kept-$host key-kept guild.example /order/e
done

cat "$dir/runs" >>review/2/record.txt
grep -h STORE_ODD "$dir"/h?.out >>review/2/record.txt
grep -q 'runs before-h1 ' "$dir/runs" || cannot_run "no request was served"
taken=$(grep -c ' runs taken-' "$dir/runs")
dropped=$(grep -c ' runs dropped-' "$dir/runs")
added_runs=$(grep -c ' runs added-' "$dir/runs")
kept=$(grep -c ' runs kept-' "$dir/runs")
note "CONFIG, ${wait_s} s after the ack: ran with the key that was taken away: $taken of 2; ran on the dropped route: $dropped of 2; ran on the added route: $added_runs of 2; ran with the key and the route that stay: $kept of 2"
[ "$taken" = 0 ] && [ "$dropped" = 0 ] && [ "$added_runs" = 2 ] || exit 1
exit 0
