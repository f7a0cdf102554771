#!/usr/bin/env bash
# Starts a platform stand-in and 7 instances in 3 data centres on loopback
# addresses, submits work of each kind and prints what happened. Stops
# everything at the end.
#
# Usage: demo.sh SITE DATA-CENTRE DATA-CENTRE DATA-CENTRE
set -euo pipefail

site=$1
centres=("$2" "$3" "$4")
root=$(cd "$(dirname "$0")/.." && pwd)
logs=$(mktemp -d)
port=${PORT:-7400}
pids=()

stop() {
	kill "${pids[@]}" 2>/dev/null || true
	wait 2>/dev/null || true
	rm -rf "$logs"
}
trap stop EXIT

# fail prints the end of the logs and stops.
fail() {
	echo "demo: $*" >&2
	tail -n 20 "$logs"/*.log >&2
	exit 1
}

# await URL waits up to 20 s until the URL answers 200.
await() {
	for _ in $(seq 100); do
		if curl -sf -o /dev/null "$1"; then return 0; fi
		sleep 0.2
	done
	fail "$1 does not answer"
}

objective=completion
[ "$site" = frost ] && objective=fragmentation

instances=()
servers=()
n=0
for centre in "${centres[0]}" "${centres[0]}" "${centres[0]}" "${centres[1]}" "${centres[1]}" "${centres[2]}" "${centres[2]}"; do
	n=$((n + 1))
	api="127.0.0.1:$((port + 10 + n))"
	peer="127.0.0.1:$((port + 30 + n))"
	instances+=("{\"name\":\"entry-$n\",\"region\":\"$site\",\"centre\":\"$centre\",\"api\":\"$api\",\"peer\":\"$peer\",\"weight\":1,\"state\":\"live\"}")
	servers+=("http://$api")
done
list=$(IFS=,; echo "[${instances[*]}]")

"$root/bin/standin" --listen "127.0.0.1:$port" --region "$site" \
	--data-centres "$(IFS=,; echo "${centres[*]}")" --workers 16 --spread 4 \
	--instances "$list" >"$logs/standin.log" 2>&1 &
pids+=($!)
await "http://127.0.0.1:$port/control/table"

n=0
for centre in "${centres[0]}" "${centres[0]}" "${centres[0]}" "${centres[1]}" "${centres[1]}" "${centres[2]}" "${centres[2]}"; do
	n=$((n + 1))
	"$root/bin/daisylugd" --name "entry-$n" --region "$site" --centre "$centre" \
		--api "127.0.0.1:$((port + 10 + n))" --peer "127.0.0.1:$((port + 30 + n))" \
		--table "http://127.0.0.1:$port" --objects "http://127.0.0.1:$port" \
		--directory "http://127.0.0.1:$port" --objective "$objective" \
		--drain 200ms >"$logs/entry-$n.log" 2>&1 &
	pids+=($!)
done
for server in "${servers[@]}"; do await "$server/readyz"; done
echo "$site: 7 instances are ready"

DAISYLUG_SERVERS=$(IFS=,; echo "${servers[*]}")
export DAISYLUG_SERVERS
run() { echo "\$ daisylug $*"; "$root/bin/daisylug" "$@"; }

run template apply "$root/examples/$site/templates.json"
run team apply "$root/examples/$site/teams.json" --wait
if [ "$site" = kivilattia ]; then
	run quote --team sales --template quick-quote --payload '{"seconds":0.05,"echo":"412 euros"}'
	run quote --team sales --template booking --id booking-1 --payload '{"seconds":0.05,"echo":"booked"}'
	run quote --team sales --template booking --id booking-1 --payload '{"seconds":0.05,"echo":"booked"}'
	run job submit --team research --template history --payload '{"seconds":60}'
	run job submit --team routes --template route-fitting --payload '{"seconds":1,"echo":"route"}' --wait
	run job submit --team crews --template slot-planning --payload '{"seconds":0.5,"echo":"slot"}' --wait
else
	run quote --team advisories --template candle-timing --id grove-7 --payload '{"seconds":0.05,"echo":"light at 04:10"}'
	run quote --team advisories --template candle-timing --id grove-7 --payload '{"seconds":0.05,"echo":"light at 04:10"}'
	run job submit --team slopes --template slope-check --payload '{"seconds":60}'
	run job submit --team maps --template frost-map --payload '{"seconds":1,"echo":"map"}' --wait
	run job submit --team regional --template frost-map-part --payload '{"seconds":1,"echo":"part"}' --wait
fi
run job list
run status
