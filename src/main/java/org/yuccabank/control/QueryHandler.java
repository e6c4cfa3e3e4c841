package org.yuccabank.control;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.yuccabank.model.Resources;
import org.yuccabank.protocol.generated.CommandRequest;
import org.yuccabank.protocol.generated.CommandResult;
import org.yuccabank.protocol.generated.CommandResult.Verdict;
import org.yuccabank.protocol.generated.Query;
import org.yuccabank.protocol.generated.RulesVersion;
import org.yuccabank.protocol.generated.TargetState;
import org.yuccabank.replication.ReplicaMember;
import org.yuccabank.replication.ReplicaStatus;
import org.yuccabank.state.SystemState;
import org.yuccabank.state.generated.AuditRecord;
import org.yuccabank.state.generated.ClaimRecord;
import org.yuccabank.state.generated.HostRecord;
import org.yuccabank.state.generated.JobRecord;
import org.yuccabank.state.generated.TaskRecord;

/**
 * Answers queries of clients and operators with JSON documents. The fields are described in {@code
 * docs/http.md}. Confined to the replica thread.
 */
final class QueryHandler {

    private static final int DEFAULT_LIMIT = 100;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final HostRegistry registry;
    private final EntryRegistry entries;

    private QueryHandler(HostRegistry registry, EntryRegistry entries) {
        this.registry = registry;
        this.entries = entries;
    }

    static QueryHandler of(HostRegistry registry, EntryRegistry entries) {
        return new QueryHandler(registry, entries);
    }

    /**
     * Answers a query.
     *
     * @param request the query and the account that sent it
     * @param state the replicated state
     * @param replica status of this replica
     * @param nowMillis current time
     * @return the result; {@link Verdict#FORBIDDEN} if the query is restricted to operators
     */
    CommandResult handle(
            CommandRequest request, SystemState state, ReplicaStatus replica, long nowMillis) {
        Query query = request.getQuery();
        boolean operatorOnly =
                switch (query.getSubject()) {
                    case STATUS, TARGETS, AUDIT, RULES, RULES_HISTORY -> true;
                    default -> false;
                };
        if (operatorOnly && !request.getOperator()) {
            return verdict(Verdict.FORBIDDEN, "only operators may ask for this");
        }
        return switch (query.getSubject()) {
            case STATUS -> json(status(state, replica, nowMillis));
            case JOBS -> json(jobs(request, state));
            case JOB -> job(request, state);
            case TARGETS -> json(targets(nowMillis));
            case AUDIT -> json(audit(query, state));
            case RULES -> rules(query, state);
            case RULES_HISTORY -> json(rulesHistory(state));
            case REQUEST -> claim(request, state);
            default -> verdict(Verdict.REJECTED, "unknown query");
        };
    }

    private static CommandResult verdict(Verdict verdict, String message) {
        return CommandResult.newBuilder().setVerdict(verdict).setMessage(message).build();
    }

    private static CommandResult json(ObjectNode node) {
        return CommandResult.newBuilder()
                .setVerdict(Verdict.ACCEPTED)
                .setJson(node.toString())
                .build();
    }

    private ObjectNode status(SystemState state, ReplicaStatus replica, long nowMillis) {
        ObjectNode node = MAPPER.createObjectNode();
        long newestVersion = state.currentRules().map(RulesVersion::getVersion).orElse(0L);
        node.put("configurationVersion", newestVersion);
        node.put("leader", replica.replicaId());
        node.put("term", replica.term());
        node.put("commitIndex", replica.commitIndex());
        ArrayNode members = node.putArray("members");
        for (ReplicaMember member : replica.members()) {
            members.addObject()
                    .put("replicaId", member.replicaId())
                    .put("address", member.address())
                    .put("voter", member.voter());
        }
        ArrayNode processes = node.putArray("processes");
        for (ReportedHost host : registry.hosts()) {
            addProcess(
                    processes.addObject(),
                    host.processId(),
                    "agent",
                    host.configurationVersion(),
                    newestVersion,
                    nowMillis - host.lastReportMillis());
        }
        for (EntryRegistry.KnownEntry entry : entries.all()) {
            addProcess(
                    processes.addObject(),
                    entry.processId(),
                    "entry",
                    entry.configurationVersion(),
                    newestVersion,
                    nowMillis - entry.lastSeenMillis());
        }
        node.put("queuedTasks", state.queuedTasks().size());
        node.put("runningTasks", state.leasedTasks().size());
        node.set("hosts", hosts(state, nowMillis));
        return node;
    }

    private static void addProcess(
            ObjectNode node,
            String processId,
            String role,
            long version,
            long newestVersion,
            long lastSeenMillisAgo) {
        node.put("processId", processId)
                .put("role", role)
                .put("configurationVersion", version)
                .put("inForce", version == newestVersion)
                .put("lastSeenMillisAgo", lastSeenMillisAgo);
    }

    private ArrayNode hosts(SystemState state, long nowMillis) {
        ArrayNode nodes = MAPPER.createArrayNode();
        for (ReportedHost host : registry.hosts()) {
            boolean draining =
                    host.draining()
                            || state.host(host.hostId()).map(HostRecord::getDraining).orElse(false);
            String hostState =
                    host.isSuspect(nowMillis) ? "suspect" : draining ? "draining" : "ready";
            ObjectNode node = nodes.addObject();
            node.put("host", host.hostId())
                    .put("dataCentre", host.dataCentre())
                    .put("rack", host.rack())
                    .put("state", hostState)
                    .put("tasks", state.leasedTasksOfHost(host.hostId()).size());
            Resources reserved = host.serviceReservation();
            for (TaskRecord task : state.leasedTasksOfHost(host.hostId())) {
                reserved =
                        reserved.plus(ReportedHost.toResources(task.getLease().getReservation()));
            }
            node.set("capacity", resources(host.capacity()));
            node.set("reserved", resources(reserved));
            node.set("usage", resources(host.usage()));
        }
        return nodes;
    }

    private static ObjectNode resources(Resources resources) {
        return MAPPER.createObjectNode()
                .put("processorMillis", resources.processorMillis())
                .put("memoryMebibytes", resources.memoryMebibytes())
                .put("accelerators", resources.accelerators());
    }

    private ObjectNode jobs(CommandRequest request, SystemState state) {
        ObjectNode node = MAPPER.createObjectNode();
        ArrayNode list = node.putArray("jobs");
        List<JobRecord> newestFirst = new ArrayList<>(state.jobs());
        Collections.reverse(newestFirst);
        newestFirst.stream()
                .filter(job -> mayRead(request, job.getAccount()))
                .limit(limit(request.getQuery()))
                .forEach(job -> list.add(job(job)));
        return node;
    }

    private static boolean mayRead(CommandRequest request, String account) {
        return request.getOperator() || request.getAccount().equals(account);
    }

    private static int limit(Query query) {
        return query.getLimit() == 0 ? DEFAULT_LIMIT : query.getLimit();
    }

    private static ObjectNode job(JobRecord job) {
        ObjectNode node =
                MAPPER.createObjectNode()
                        .put("job", job.getJobId())
                        .put("account", job.getAccount())
                        .put("kind", job.getSpecification().getKind())
                        .put("state", jobState(job))
                        .put("tasks", job.getSpecification().getTaskCount())
                        .put("finishedTasks", job.getFinishedTasks())
                        .put("submittedAtMillis", job.getSubmittedAtMillis());
        if (job.getEndedAtMillis() > 0) {
            node.put("endedAtMillis", job.getEndedAtMillis());
        }
        if (!job.getReason().isEmpty()) {
            node.put("reason", job.getReason());
        }
        return node;
    }

    private static String jobState(JobRecord job) {
        String phase = job.getPhase().name().substring("JOB_".length()).toLowerCase(Locale.ROOT);
        return phase.equals("active") && job.getCancelRequested() ? "cancelling" : phase;
    }

    private static CommandResult job(CommandRequest request, SystemState state) {
        String jobId = request.getQuery().getIdentifier();
        Optional<JobRecord> job =
                state.job(jobId).filter(found -> mayRead(request, found.getAccount()));
        if (job.isEmpty()) {
            return verdict(Verdict.NOT_FOUND, "no job " + jobId);
        }
        ObjectNode node = job(job.get());
        ArrayNode tasks = node.putArray("taskStates");
        for (TaskRecord task : state.tasksOfJob(jobId)) {
            ObjectNode entry =
                    tasks.addObject()
                            .put("task", task.getTaskId())
                            .put(
                                    "state",
                                    task.getPhase()
                                            .name()
                                            .substring("TASK_".length())
                                            .toLowerCase(Locale.ROOT))
                            .put("progress", task.getProgress())
                            .put("checkpointGeneration", task.getCheckpointGeneration())
                            .put("starts", task.getStarts())
                            .put("evictions", task.getEvictions());
            if (task.hasLease()) {
                entry.put("host", task.getLease().getHostId())
                        .put("fencingToken", task.getLease().getFencingToken());
            }
        }
        return json(node);
    }

    private ObjectNode targets(long nowMillis) {
        ObjectNode node = MAPPER.createObjectNode();
        ArrayNode list = node.putArray("targets");
        for (ReportedHost host : registry.hosts()) {
            for (TargetState target : host.targets()) {
                String targetState =
                        target.getLeaving()
                                ? "leaving"
                                : host.isSuspect(nowMillis) ? "suspect" : "ready";
                list.addObject()
                        .put("target", target.getTargetId())
                        .put("service", target.getService())
                        .put("host", host.hostId())
                        .put("dataCentre", host.dataCentre())
                        .put("state", targetState)
                        .put("slots", target.getSlots())
                        .put("slotsUsed", target.getSlotsUsed())
                        .put("connections", target.getConnections());
            }
        }
        return node;
    }

    private static ObjectNode audit(Query query, SystemState state) {
        ObjectNode node = MAPPER.createObjectNode();
        ArrayNode list = node.putArray("audit");
        List<AuditRecord> newestFirst = new ArrayList<>(state.audit());
        Collections.reverse(newestFirst);
        newestFirst.stream()
                .limit(limit(query))
                .forEach(
                        entry ->
                                list.addObject()
                                        .put("index", entry.getIndex())
                                        .put("atMillis", entry.getAtMillis())
                                        .put("account", entry.getAccount())
                                        .put("action", entry.getAction())
                                        .put("detail", entry.getDetail())
                                        .put(
                                                "verdict",
                                                entry.getVerdict().toLowerCase(Locale.ROOT)));
        return node;
    }

    private static CommandResult rules(Query query, SystemState state) {
        Optional<RulesVersion> version =
                query.getFrom() == 0
                        ? state.currentRules()
                        : state.rulesHistory().stream()
                                .filter(known -> known.getVersion() == query.getFrom())
                                .findFirst();
        if (version.isEmpty() && query.getFrom() != 0) {
            return verdict(Verdict.NOT_FOUND, "no version " + query.getFrom());
        }
        ObjectNode node = MAPPER.createObjectNode();
        node.put("version", version.map(RulesVersion::getVersion).orElse(0L));
        node.put("author", version.map(RulesVersion::getAuthor).orElse(""));
        node.put("acceptedAtMillis", version.map(RulesVersion::getAcceptedAtMillis).orElse(0L));
        node.put("text", version.map(RulesVersion::getText).orElse(""));
        return json(node).toBuilder().setVersion(node.get("version").asLong()).build();
    }

    private static ObjectNode rulesHistory(SystemState state) {
        ObjectNode node = MAPPER.createObjectNode();
        ArrayNode list = node.putArray("versions");
        for (RulesVersion version : state.rulesHistory()) {
            list.addObject()
                    .put("version", version.getVersion())
                    .put("author", version.getAuthor())
                    .put("acceptedAtMillis", version.getAcceptedAtMillis())
                    .put("bytes", version.getText().length());
        }
        return node;
    }

    private static CommandResult claim(CommandRequest request, SystemState state) {
        Optional<ClaimRecord> claim =
                state.claim(request.getAccount(), request.getQuery().getIdentifier());
        if (claim.isEmpty()) {
            return verdict(
                    Verdict.NOT_FOUND, "no request with key " + request.getQuery().getIdentifier());
        }
        return CommandResult.newBuilder()
                .setVerdict(Verdict.ACCEPTED)
                .setClaimOutcome(claim.get().getOutcome())
                .setIdentifier(claim.get().getHostId())
                .setFencingToken(claim.get().getFencingToken())
                .build();
    }
}
