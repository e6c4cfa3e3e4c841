#!/bin/sh
# Start-up script of the single executable file: the jar follows the last line.
# JVM options differ by role and a jar manifest cannot set them, so they are chosen here.
java_command="${JAVA_HOME:+$JAVA_HOME/bin/}java"
case "$1" in
  agent)
    # The process beside a target has to stay under 64 MB resident.
    export MALLOC_ARENA_MAX=1
    options="-Xms4m -Xmx10m -Xmn1m -Xss256k -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:CICompilerCount=1 -XX:ReservedCodeCacheSize=8m -XX:MaxDirectMemorySize=8m -XX:-UsePerfData -Dio.netty.allocator.type=unpooled -Dio.netty.eventLoopThreads=1 -Dreactor.netty.ioWorkerCount=1"
    # Classes from a mapped archive need less memory than loaded ones. Relocation of the archive,
    # the default of this JVM, would write to each of its pages and make them private.
    archive="$0.agent.jsa"
    if [ -r "$archive" ]; then
      options="$options -XX:SharedArchiveFile=$archive -Xshare:auto"
      options="$options -XX:+UnlockDiagnosticVMOptions -XX:ArchiveRelocationMode=0"
    fi
    ;;
  entry)
    options="-Xmx256m -XX:+UseSerialGC"
    ;;
  control)
    options="-Xmx512m -XX:+UseSerialGC"
    ;;
  bench | verify)
    options="-Xmx4g -XX:+UseParallelGC"
    ;;
  *)
    options="-Xmx1g -XX:+UseSerialGC -XX:TieredStopAtLevel=1"
    ;;
esac
# shellcheck disable=SC2086 # the options are separate words
exec "$java_command" $options ${YUCCABANK_JAVA_OPTIONS:-} -jar "$0" "$@"
