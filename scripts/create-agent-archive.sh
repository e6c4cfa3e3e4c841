#!/bin/sh
# Creates the class archive of the agent beside the executable: target/yuccabank.agent.jsa.
# The archive holds the classes that a run with tasks and requests loads. It is valid for the same
# JVM, the same executable file and the same path to it; the launcher ignores any other.
# Build first: mvn -B -ntp package.
set -eu
cd "$(dirname "$0")/.."
rm -f target/yuccabank.agent.jsa
YUCCABANK_MEASURE_RESULTS=/dev/null \
  YUCCABANK_AGENT_OPTIONS="-XX:ArchiveClassesAtExit=target/yuccabank.agent.jsa" \
  scripts/measure-agent.sh archive 8 20 3 3
ls -l target/yuccabank.agent.jsa
