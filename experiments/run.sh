#!/usr/bin/env bash
# Runs one experiment with 7 entry processes in 3 regions on loopback:
#   experiments/run.sh steady|overload|vm-killed|platform-down|upstream-drained
# It starts all processes itself and stops them by process id. It prints the report
# of the load tool and the number of requests that each upstream ran. The schedule
# of the load is reproducible: mix.yaml.tmpl sets the seed.
set -euo pipefail
experiment=$1
cd "$(dirname "$0")/.."
work_dir=$(mktemp -d)
pids=()
cleanup() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work_dir"
}
trap cleanup EXIT

go build -o "$work_dir/filbertgap" ./cmd/filbertgap
bin=$work_dir/filbertgap
subnet=127.9.9
start() { "$bin" "$@" >>"$work_dir/out" 2>>"$work_dir/log" & pids+=($!); }

echo "a fleet secret for experiments" >"$work_dir/fleet"
echo "an operator token for experiments" >"$work_dir/operator"
export FILBERTGAP_FLEET_SECRET_FILE=$work_dir/fleet FILBERTGAP_OPERATOR_TOKEN_FILE=$work_dir/operator
export FILBERTGAP_PLATFORM=http://$subnet.1:2400 FILBERTGAP_OPERATOR=http://$subnet.21:8082
start standin platform --listen $subnet.1:2400
sleep 0.3

regions=(nairobi nairobi nairobi kisumu kisumu mombasa mombasa)
zones=(a b a a b a b)
entry_pids=()
entries=()
for i in 1 2 3 4 5 6 7; do
  region=${regions[i-1]}
  start entry --vm "vm-$i" --region "$region" --availability-zone "$region-${zones[i-1]}" \
    --caller-listen $subnet.2$i:8080 --peer-listen $subnet.2$i:8081 --operator-listen $subnet.2$i:8082 --metrics-listen $subnet.2$i:8083 --drain-wait 0s
  entry_pids+=($!)
  entries+=(--entry "http://$subnet.2$i:8080")
done

{
  for region in nairobi kisumu mombasa; do
    printf -- '---\n{apiVersion: filbertgap/v1, kind: Region, metadata: {name: %s}, spec: {availabilityZones: [%s-a, %s-b]}}\n' $region $region $region
    for other in nairobi kisumu mombasa; do
      [ $region = $other ] || printf -- '---\n{apiVersion: filbertgap/v1, kind: RegionalCap, metadata: {name: %s-%s}, spec: {from: %s, to: %s, requestsPerSecond: 100, bitsPerSecond: 4000Mbit}}\n' $region $other $region $other
    done
  done
  n=0
  for region in nairobi kisumu mombasa; do
    for k in 1 2 3 4; do
      n=$((n+1))
      start standin upstream --listen $subnet.$((100+n)):9000 --slots 3 --service-millis 20
      printf -- '---\n{apiVersion: filbertgap/v1, kind: Upstream, metadata: {name: orders-%d}, spec: {address: "%s:9000", group: orders, region: %s, availabilityZone: %s-a, slots: 3}}\n' $n $subnet.$((100+n)) $region $region
    done
  done
  printf -- '---\n{apiVersion: filbertgap/v1, kind: Route, metadata: {name: catalogue}, spec: {pathPrefix: /catalogue, methods: [GET], access: keyed, idempotent: true, deadline: 5s, upstreamGroup: orders}}\n'
  printf -- '---\n{apiVersion: filbertgap/v1, kind: Route, metadata: {name: orders}, spec: {pathPrefix: /orders, methods: [POST], access: keyed, idempotent: false, deadline: 5s, upstreamGroup: orders}}\n'
  for spec in small:20:10 medium:200:100 large:300:100; do
    IFS=: read -r workspace rate burst <<<"$spec"
    printf -- '---\n{apiVersion: filbertgap/v1, kind: Workspace, metadata: {name: %s}, spec: {requestsPerSecond: %d, burst: %d}}\n' "$workspace" "$rate" "$burst"
  done
} >"$work_dir/resources.yaml"
sleep 1
"$bin" apply --wait -f "$work_dir/resources.yaml" >/dev/null
for workspace in small medium large; do "$bin" key issue --workspace $workspace >"$work_dir/$workspace.key" 2>/dev/null; done
sleep 3

large_rate=250
[ "$experiment" = overload ] && large_rate=1500
sed "s#WORK#$work_dir#g; s#LARGE#$large_rate#" experiments/mix.yaml.tmpl >"$work_dir/mix.yaml"

case $experiment in
  steady|overload) ;;
  vm-killed) (sleep 5; kill -KILL "${entry_pids[2]}") & ;;
  platform-down) (sleep 5; curl -s -X PUT -d '{"down":true}' http://$subnet.1:2400/control/faults) & ;;
  upstream-drained) (sleep 5; "$bin" drain upstream orders-1 >/dev/null) & ;;
  *) echo "unknown experiment $experiment" >&2; exit 2 ;;
esac
"$bin" load --mix "$work_dir/mix.yaml" "${entries[@]}" || true
most=0
for n in 1 2 3 4 5 6 7 8 9 10 11 12; do
  ran=$(curl -s http://$subnet.$((100+n)):9000/control/observed | python3 -c 'import json,sys; print(len(json.load(sys.stdin)))')
  echo "orders-$n ran $ran"
done
