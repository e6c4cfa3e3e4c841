package org.yuccabank.agent.workflow;

import java.util.List;
import java.util.OptionalLong;
import org.yuccabank.protocol.generated.EndedRun;

/**
 * The numbers of the ends that an incarnation of a worker has listed. They are consecutive from 1,
 * so that a gap tells how many ends the worker has discarded before the agent has seen them.
 *
 * <p>Invariant: a number counts as discarded only if no earlier list can have contained it.
 * Confined to the agent's event loop.
 */
final class EndNumbers {

    private OptionalLong highest = OptionalLong.empty();

    /** Begins with an incarnation whose first list this agent process will see. */
    void reset() {
        highest = OptionalLong.of(0);
    }

    /**
     * Records the ends of a list.
     *
     * @param ended the ends, ordered by number
     * @return the number of ends that were discarded unseen
     */
    long recordListed(List<EndedRun> ended) {
        long discarded = 0;
        for (EndedRun each : ended) {
            long previous = highest.orElse(each.getNumber() - 1);
            discarded += Math.max(0, each.getNumber() - previous - 1);
            highest = OptionalLong.of(Math.max(previous, each.getNumber()));
        }
        return discarded;
    }
}
