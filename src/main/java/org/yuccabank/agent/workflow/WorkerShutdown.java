package org.yuccabank.agent.workflow;

import java.util.ArrayList;
import java.util.List;
import org.yuccabank.protocol.generated.WorkerReport;
import reactor.core.publisher.MonoSink;

/**
 * The shutdown of a worker, which is confirmed once the leader knows that the worker runs nothing
 * any more. Confined to the agent's event loop.
 */
final class WorkerShutdown {

    private final List<MonoSink<Boolean>> waiting = new ArrayList<>();
    private boolean requested;

    /** Records a request of the worker, to be completed with the confirmation. */
    void request(MonoSink<Boolean> sink) {
        requested = true;
        waiting.add(sink);
    }

    boolean isRequested() {
        return requested;
    }

    /** Confirms the shutdown if the leader has answered a report that the worker runs nothing. */
    void confirm(WorkerReport answered) {
        if (answered.getLeaving() && answered.getListed() && answered.getActiveCount() == 0) {
            waiting.forEach(sink -> sink.success(true));
            waiting.clear();
        }
    }

    /** Resets the state for a new incarnation. */
    void reset() {
        requested = false;
    }
}
