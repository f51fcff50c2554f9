#!/usr/bin/env bash
# Runs one experiment with 7 entry processes in 3 regions on loopback:
#   experiments/run.sh steady|overload|vm-killed|platform-down|upstream-drained
# It starts every process itself, ends them by process id, and prints the
# report of the load tool. The load is seeded; see mix.yaml.tmpl.
set -euo pipefail
name=$1
cd "$(dirname "$0")/.."
work=$(mktemp -d)
pids=()
finish() {
  for p in "${pids[@]}"; do kill "$p" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap finish EXIT

go build -o "$work/filbertgap" ./cmd/filbertgap
bin=$work/filbertgap
net=127.9.9
start() { "$bin" "$@" >>"$work/out" 2>>"$work/log" & pids+=($!); }

echo "a fleet secret for experiments" >"$work/fleet"
echo "an operator token for experiments" >"$work/operator"
export FILBERTGAP_FLEET_SECRET_FILE=$work/fleet FILBERTGAP_OPERATOR_TOKEN_FILE=$work/operator
export FILBERTGAP_PLATFORM=http://$net.1:2400 FILBERTGAP_OPERATOR=http://$net.21:8082
start standin platform --listen $net.1:2400
sleep 0.3

regions=(nairobi nairobi nairobi kisumu kisumu mombasa mombasa)
zones=(a b a a b a b)
entry_pids=()
entries=()
for i in 1 2 3 4 5 6 7; do
  r=${regions[i-1]}
  start entry --vm "vm-$i" --region "$r" --availability-zone "$r-${zones[i-1]}" \
    --caller-listen $net.2$i:8080 --peer-listen $net.2$i:8081 --operator-listen $net.2$i:8082 --metrics-listen $net.2$i:8083 --drain-wait 0s
  entry_pids+=($!)
  entries+=(--entry "http://$net.2$i:8080")
done

{
  for r in nairobi kisumu mombasa; do
    printf -- '---\n{apiVersion: filbertgap/v1, kind: Region, metadata: {name: %s}, spec: {availabilityZones: [%s-a, %s-b]}}\n' $r $r $r
    for s in nairobi kisumu mombasa; do
      [ $r = $s ] || printf -- '---\n{apiVersion: filbertgap/v1, kind: RegionalCap, metadata: {name: %s-%s}, spec: {from: %s, to: %s, requestsPerSecond: 100, bitsPerSecond: 4000Mbit}}\n' $r $s $r $s
    done
  done
  n=0
  for r in nairobi kisumu mombasa; do
    for k in 1 2 3 4; do
      n=$((n+1))
      start standin upstream --listen $net.$((100+n)):9000 --slots 3 --service-millis 20
      printf -- '---\n{apiVersion: filbertgap/v1, kind: Upstream, metadata: {name: orders-%d}, spec: {address: "%s:9000", group: orders, region: %s, availabilityZone: %s-a, slots: 3}}\n' $n $net.$((100+n)) $r $r
    done
  done
  printf -- '---\n{apiVersion: filbertgap/v1, kind: Route, metadata: {name: catalogue}, spec: {pathPrefix: /catalogue, methods: [GET], access: keyed, idempotent: true, deadline: 5s, upstreamGroup: orders}}\n'
  printf -- '---\n{apiVersion: filbertgap/v1, kind: Route, metadata: {name: orders}, spec: {pathPrefix: /orders, methods: [POST], access: keyed, idempotent: false, deadline: 5s, upstreamGroup: orders}}\n'
  for w in small:20:10 medium:200:100 large:300:100; do
    IFS=: read -r wn rate burst <<<"$w"
    printf -- '---\n{apiVersion: filbertgap/v1, kind: Workspace, metadata: {name: %s}, spec: {requestsPerSecond: %d, burst: %d}}\n' "$wn" "$rate" "$burst"
  done
} >"$work/resources.yaml"
sleep 1
"$bin" apply --wait -f "$work/resources.yaml" >/dev/null
for w in small medium large; do "$bin" key issue --workspace $w >"$work/$w.key" 2>/dev/null; done
sleep 3

large=250
[ "$name" = overload ] && large=1500
sed "s#WORK#$work#g; s#LARGE#$large#" experiments/mix.yaml.tmpl >"$work/mix.yaml"

case $name in
  steady|overload) ;;
  vm-killed) (sleep 5; kill -KILL "${entry_pids[2]}") & ;;
  platform-down) (sleep 5; curl -s -X PUT -d '{"down":true}' http://$net.1:2400/control/faults) & ;;
  upstream-drained) (sleep 5; "$bin" drain upstream orders-1 >/dev/null) & ;;
  *) echo "unknown experiment $name" >&2; exit 2 ;;
esac
"$bin" load --mix "$work/mix.yaml" "${entries[@]}" || true
most=0
for n in 1 2 3 4 5 6 7 8 9 10 11 12; do
  ran=$(curl -s http://$net.$((100+n)):9000/control/observed | python3 -c 'import json,sys; print(len(json.load(sys.stdin)))')
  echo "orders-$n ran $ran"
done
