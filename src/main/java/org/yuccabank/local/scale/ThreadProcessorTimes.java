package org.yuccabank.local.scale;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadInfo;
import java.lang.management.ThreadMXBean;

/** Reads the processor time of threads, assigned to processes by thread name. Thread-safe. */
final class ThreadProcessorTimes {

    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    private ThreadProcessorTimes() {}

    /**
     * Returns the processor time used so far by the replica and network threads of a control
     * process.
     *
     * @param processId identifier of the control process
     * @return the time in nanoseconds
     */
    static long controlProcessorNanos(String processId) {
        long processorNanos = 0;
        for (long identifier : THREADS.getAllThreadIds()) {
            ThreadInfo thread = THREADS.getThreadInfo(identifier);
            if (thread == null) {
                continue;
            }
            boolean belongsToProcess =
                    thread.getThreadName().startsWith("network-" + processId + "-")
                            || thread.getThreadName().startsWith("replica-" + processId);
            if (belongsToProcess) {
                processorNanos += Math.max(0, THREADS.getThreadCpuTime(identifier));
            }
        }
        return processorNanos;
    }
}
