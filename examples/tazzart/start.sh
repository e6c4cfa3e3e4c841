#!/bin/sh
# Starts the example on this machine: 3 control processes, 3 entries, 11 agents and 11 stand-in
# workers. Usage: start.sh EXECUTABLE DIRECTORY; DIRECTORY receives data, logs and process ids.
# Stop with: kill $(cat DIRECTORY/pids)
set -eu
yuccabank=$1
directory=$2
settings=$(cd "$(dirname "$0")" && pwd)
mkdir -p "$directory"
: >"$directory/pids"
start() {
  name=$1
  shift
  "$yuccabank" "$@" --set "process_id=$name" >"$directory/$name.log" 2>&1 &
  echo $! >>"$directory/pids"
}
number=0
for data_centre in marrakech essaouira agadir; do
  number=$((number + 1))
  start "control-$number" control --settings "$settings/control.toml" --set "data_centre=$data_centre" \
    --set "protocol_address=127.0.0.1:$((7100 + number))" \
    --set "control.data_directory=$directory/control-$number" \
    --set "group.replica_id=control-$number"
  start "entry-$number" entry --settings "$settings/entry.toml" --set "data_centre=$data_centre" \
    --set "http_address=127.0.0.1:$((7400 + number))"
done
number=0
while [ "$number" -lt 11 ]; do
  number=$((number + 1))
  data_centre=$(echo marrakech essaouira agadir | cut -d ' ' -f $((number % 3 + 1)))
  rack="rack-$(((number + 2) / 3))"
  start "worker-$number" worker --settings "$settings/worker.toml" --kinds preview,charge \
    --serve-ms 40 --slowdown preview:render=0.25,preview:gallery=0.1 --set "host_id=host-$number" \
    --set "data_centre=$data_centre" --set "rack=$rack" \
    --set "http_address=127.0.0.1:$((7800 + number))" \
    --set "worker.agent_address=127.0.0.1:$((7700 + number))"
  start "agent-$number" agent --settings "$settings/agent.toml" --set "host_id=host-$number" \
    --set "data_centre=$data_centre" --set "rack=$rack" \
    --set "http_address=127.0.0.1:$((7700 + number))" \
    --set "agent.worker_address=127.0.0.1:$((7800 + number))"
done
