package org.yuccabank.local.scale;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadInfo;
import java.lang.management.ThreadMXBean;

/** Reads processor time of threads by the process that their name belongs to. Thread-safe. */
final class ThreadCpuTimes {

    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    private ThreadCpuTimes() {}

    /**
     * Processor time used so far by the replica and network threads of a control process.
     *
     * @param processId identifier of the control process
     * @return the time in nanoseconds
     */
    static long controlCpuNanos(String processId) {
        long cpuNanos = 0;
        for (long identifier : THREADS.getAllThreadIds()) {
            ThreadInfo thread = THREADS.getThreadInfo(identifier);
            if (thread == null) {
                continue;
            }
            boolean belongsToProcess =
                    thread.getThreadName().startsWith("network-" + processId + "-")
                            || thread.getThreadName().startsWith("replica-" + processId);
            if (belongsToProcess) {
                cpuNanos += Math.max(0, THREADS.getThreadCpuTime(identifier));
            }
        }
        return cpuNanos;
    }
}
