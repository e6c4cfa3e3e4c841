package org.yuccabank.agent;

import java.util.Collection;
import org.yuccabank.protocol.generated.AgentReport;

/** Where {@link Reporter} reads the parts of a report. */
interface ReportSource {

    /** Writes the usage of the host and the load of the target. */
    void writeUsage(AgentReport.Builder report);

    /** Writes what rarely changes: capacity, address, announcements, draining. */
    void writeHost(AgentReport.Builder report);

    /** All tasks that are remembered. */
    Collection<AgentTask> tasks();

    /** Outcomes of claims. */
    ClaimTable claims();
}
