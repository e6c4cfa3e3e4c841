#!/bin/sh
# Measures a real agent process: resident memory, processor time and bytes sent to control.
# Usage: scripts/measure-agent.sh LABEL [TASKS] [REQUESTS_PER_SECOND] [SECONDS] [WARM_UP_SECONDS]
# Build first: mvn -B -ntp package. Appends a row to docs/measurements/agent.csv.
# The worker and the driver, which plays control and an entry, run beside the agent on loopback.
set -eu
cd "$(dirname "$0")/.."
label=$1
tasks=${2:-8}
rate=${3:-0}
seconds=${4:-60}
warm_up=${5:-20}
base=${YUCCABANK_MEASURE_PORT:-27100}
directory=$(mktemp -d)
touch "$directory/driver.log"
results=${YUCCABANK_MEASURE_RESULTS:-docs/measurements/agent.csv}
classpath=target/test-classes:target/yuccabank-0.1.0-all.jar

cat > "$directory/agent.toml" <<TOML
process_id = "agent-1"
host_id = "host-1"
data_centre = "dc-1"
security = "off"
protocol_address = "127.0.0.1:$((base + 1))"
http_address = "127.0.0.1:$((base + 2))"
administration_address = "127.0.0.1:$((base + 3))"
control_addresses = ["127.0.0.1:$base"]
[agent]
worker_address = "127.0.0.1:$((base + 4))"
TOML
cat > "$directory/worker.toml" <<TOML
process_id = "target-1"
host_id = "host-1"
data_centre = "dc-1"
security = "off"
http_address = "127.0.0.1:$((base + 4))"
[worker]
agent_address = "127.0.0.1:$((base + 2))"
service = "studio"
TOML

target/yuccabank worker --settings "$directory/worker.toml" --kinds preview,charge \
  > "$directory/worker.log" 2>&1 &
worker=$!
YUCCABANK_JAVA_OPTIONS=${YUCCABANK_AGENT_OPTIONS:-} target/yuccabank agent --settings "$directory/agent.toml" > "$directory/agent.log" 2>&1 &
agent=$!
java -Xmx256m -cp "$classpath" org.yuccabank.agent.AgentDriver \
  "$base" "$((base + 1))" "$tasks" "$rate" "$warm_up" "$seconds" > "$directory/driver.log" 2>&1 &
driver=$!
trap 'kill "$agent" "$worker" "$driver" 2> /dev/null || true' EXIT

while ! grep -q '^begin' "$directory/driver.log"; do
  kill -0 "$driver" "$agent" || { cat "$directory"/*.log; exit 1; }
  sleep 0.1
done
ticks_at_begin=$(awk '{print $14 + $15}' "/proc/$agent/stat")
while ! grep -q '^end' "$directory/driver.log"; do
  kill -0 "$driver" || { cat "$directory/driver.log"; exit 1; }
  sleep 0.1
done
ticks_at_end=$(awk '{print $14 + $15}' "/proc/$agent/stat")
cat "/proc/$agent/smaps_rollup" > "$directory/smaps"
threads=$(awk '/^Threads/ {print $2}' "/proc/$agent/status")
field() { awk -v name="$1:" '$1 == name {print $2}' "$directory/smaps"; }
driver_field() { sed -n "s/^end .*$1=\([0-9]*\).*/\1/p" "$directory/driver.log"; }
rss=$(field Rss)
private=$(( $(field Private_Clean) + $(field Private_Dirty) ))
shared=$(( $(field Shared_Clean) + $(field Shared_Dirty) ))
anonymous=$(field Anonymous)
cpu=$(awk -v t=$((ticks_at_end - ticks_at_begin)) -v s="$seconds" -v hz="$(getconf CLK_TCK)" \
  'BEGIN {printf "%.3f", 100 * t / hz / s}')
sent=$(( $(driver_field bytes_sent) / seconds ))
received=$(( $(driver_field bytes_received) / seconds ))
[ -e "$results" ] || echo "label,commit,tasks,requests_per_second,seconds,rss_kib,private_kib,shared_kib,anonymous_kib,cpu_percent,bytes_sent_per_second,bytes_received_per_second,reports,ran,threads" > "$results"
row="$label,$(git rev-parse --short HEAD),$tasks,$rate,$seconds,$rss,$private,$shared,$anonymous,$cpu,$sent,$received,$(driver_field reports),$(driver_field ran),$threads"
echo "$row" >> "$results"
head -1 "$results"
echo "$row"
grep -E "WARN|ERROR" "$directory/agent.log" || true
kill "$agent" 2> /dev/null || true
wait "$agent" || echo "agent ended with code $?"
