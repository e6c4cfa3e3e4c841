package org.yuccabank.agent;

import com.google.protobuf.ByteString;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import org.yuccabank.protocol.Forwarder;
import org.yuccabank.protocol.PeerClient;
import org.yuccabank.protocol.PeerHandler;
import org.yuccabank.protocol.generated.Envelope;
import org.yuccabank.protocol.generated.Invoke;
import org.yuccabank.protocol.generated.OutcomeKind;
import org.yuccabank.protocol.generated.ResourceVector;
import org.yuccabank.protocol.generated.TaskDirective;

/**
 * Load driver of scripts/measure-agent.sh: acts as control and as an entry towards a real agent
 * process. Arguments: control port, agent port, tasks, requests per second, warm-up seconds,
 * seconds.
 */
public final class AgentDriver {

    private static final int BODY_BYTES = 1_024;

    private AgentDriver() {}

    public static void main(String[] arguments) throws Exception {
        int tasks = Integer.parseInt(arguments[2]);
        int rate = Integer.parseInt(arguments[3]);
        StubControl control = new StubControl();
        Forwarder forwarder = Forwarder.start(Integer.parseInt(arguments[0]), control.address());
        while (control.reports().isEmpty()
                || control.reports().stream().noneMatch(report -> report.getTargetsCount() > 0)) {
            Thread.sleep(50);
        }
        for (int index = 0; index < tasks; index++) {
            control.queue(task(index));
        }
        PeerClient agent =
                PeerClient.of(
                        control.transport(),
                        new InetSocketAddress(
                                InetAddress.getLoopbackAddress(), Integer.parseInt(arguments[1])),
                        PeerHandler.none());
        run(agent, rate, Integer.parseInt(arguments[4]));
        control.reports().stream()
                .flatMap(report -> report.getTasksList().stream())
                .map(task -> task.getPhase() + " " + task.getDetail())
                .distinct()
                .forEach(text -> System.out.println("task " + text));
        System.out.println("begin");
        long sent = forwarder.bytesToTarget();
        long received = forwarder.bytesFromTarget();
        int reports = control.reports().size();
        int seconds = Integer.parseInt(arguments[5]);
        long ran = run(agent, rate, seconds);
        System.out.printf(
                "end bytes_sent=%d bytes_received=%d reports=%d ran=%d connections=%d%n",
                forwarder.bytesToTarget() - sent,
                forwarder.bytesFromTarget() - received,
                control.reports().size() - reports,
                ran,
                forwarder.connectionCount());
        Thread.sleep(2_000);
        System.exit(0);
    }

    private static TaskDirective task(int index) {
        return TaskDirective.newBuilder()
                .setAction(TaskDirective.Action.START)
                .setTaskId("job-2026-000123/" + index)
                .setKind("render")
                .setAccount("studio-majorelle")
                .setFencingToken(1_000_000 + index)
                .setLeaseMillis(10_000)
                .setRunTimeMillis(3_600_000)
                .setCheckpointIntervalMillis(60_000)
                .setReservation(
                        ResourceVector.newBuilder()
                                .setProcessorMillis(1_000)
                                .setMemoryMebibytes(2_048))
                .build();
    }

    private static long run(PeerClient agent, int rate, int seconds) throws Exception {
        AtomicLong ran = new AtomicLong();
        long start = System.nanoTime();
        long total = (long) rate * seconds;
        ByteString body = ByteString.copyFrom(new byte[BODY_BYTES]);
        for (long index = 0; index < total; index++) {
            long due = start + index * 1_000_000_000L / rate;
            long wait = (due - System.nanoTime()) / 1_000_000;
            if (wait > 0) {
                Thread.sleep(wait);
            }
            Invoke request =
                    Invoke.newBuilder()
                            .setRequestId("request-" + start + "-" + index)
                            .setAccount("studio-majorelle")
                            .setKind("preview")
                            .setDeadlineMillis(5_000)
                            .setBody(body)
                            .build();
            agent.request(Envelope.newBuilder().setInvoke(request).build(), Duration.ofSeconds(10))
                    .subscribe(
                            reply -> {
                                if (reply.getInvokeResult().getOutcome() == OutcomeKind.RAN) {
                                    ran.incrementAndGet();
                                }
                            },
                            error -> {});
        }
        long rest = seconds * 1_000L - (System.nanoTime() - start) / 1_000_000;
        Thread.sleep(Math.max(0, rest));
        return ran.get();
    }
}
