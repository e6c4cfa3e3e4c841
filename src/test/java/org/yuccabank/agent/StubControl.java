package org.yuccabank.agent;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.yuccabank.protocol.PeerConnection;
import org.yuccabank.protocol.PeerSecurity;
import org.yuccabank.protocol.PeerServer;
import org.yuccabank.protocol.PeerTimings;
import org.yuccabank.protocol.PeerTransport;
import org.yuccabank.protocol.generated.AgentDirectives;
import org.yuccabank.protocol.generated.AgentReport;
import org.yuccabank.protocol.generated.ClaimOutcome;
import org.yuccabank.protocol.generated.Envelope;
import org.yuccabank.protocol.generated.Hello;
import org.yuccabank.protocol.generated.Role;
import org.yuccabank.protocol.generated.TaskDirective;
import org.yuccabank.protocol.generated.TaskState;
import reactor.core.publisher.Mono;

/** A stub control that acknowledges each report, renews all leases and sends queued directives. */
final class StubControl {

    private static final long LEASE_MILLIS = 10_000;

    private final List<AgentReport> reports = new ArrayList<>();
    private final List<TaskDirective> queued = new ArrayList<>();
    private final AtomicLong version = new AtomicLong();
    private final PeerTransport transport;
    private final PeerServer server;

    StubControl() {
        Hello hello = Hello.newBuilder().setProcessId("control").setRole(Role.CONTROL).build();
        transport =
                PeerTransport.start(
                        hello, version::get, PeerTimings.defaults(), PeerSecurity.plaintext(), 1);
        server =
                PeerServer.start(
                        transport,
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        this::handle);
    }

    private synchronized Mono<Envelope> handle(PeerConnection from, Envelope request) {
        AgentReport report = request.getAgentReport();
        reports.add(report);
        AgentDirectives.Builder directives =
                AgentDirectives.newBuilder()
                        .setAcknowledgedSequence(report.getSequence())
                        .setLeaseMillis(LEASE_MILLIS)
                        .addAllDirectives(queued);
        queued.clear();
        for (TaskState task : report.getTasksList()) {
            directives.addRenewedTokens(task.getFencingToken());
        }
        for (ClaimOutcome claim : report.getClaimOutcomesList()) {
            directives.addAcknowledgedClaimTokens(claim.getFencingToken());
        }
        return Mono.just(Envelope.newBuilder().setAgentDirectives(directives).build());
    }

    synchronized void queue(TaskDirective directive) {
        queued.add(directive);
    }

    synchronized List<AgentReport> reports() {
        return List.copyOf(reports);
    }

    PeerTransport transport() {
        return transport;
    }

    InetSocketAddress address() {
        return server.address();
    }

    void stop() {
        server.stop();
        transport.stop();
    }
}
