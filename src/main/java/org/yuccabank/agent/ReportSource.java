package org.yuccabank.agent;

import java.util.Collection;
import org.yuccabank.protocol.generated.AgentReport;

/** Provides the contents of a report to {@link Reporter}. */
interface ReportSource {

    /** Adds the usage of the host, the drain state and the state of the target to a report. */
    void writeUsage(AgentReport.Builder report);

    /** Adds the properties that rarely change: capacity, service reservation and address. */
    void writeHost(AgentReport.Builder report);

    /** Returns all tasks, including the ended ones that are still retained. */
    Collection<AgentTask> tasks();

    /** Returns the at-most-once claims with their outcomes. */
    ClaimTable claims();
}
