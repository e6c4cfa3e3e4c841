package org.yuccabank.platform;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * A stand-in worker that keeps its listening socket over all of its lifetimes. While it is down
 * nothing is accepted or read, so that the next lifetime takes the connections and requests that
 * have arrived meanwhile. Some calls are not answered and carried out again, or only then, by the
 * lifetime that lives at that time. Thread-safe.
 */
final class SoakMinion implements AutoCloseable {

    private static final int TICK_MILLIS = 10;
    private static final int LONGEST_DELAY_MILLIS = 9_000;

    private final String id;
    private final Behaviour behaviour;
    private final Random random;
    private final SoakRecord soakRecord;
    private final ServerSocket server;
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(1);
    private final Object gate = new Object();
    private SoakLifetime lifetime;
    private boolean down;
    private int lifetimeCount;
    private volatile boolean redelivers = true;

    /**
     * How a worker behaves in all its lifetimes.
     *
     * @param keepsConnections whether open connections outlive a lifetime
     * @param storesAcknowledgement whether it discards ends up to an acknowledged number that
     *     happen later, too
     * @param unansweredShare share of the calls that are not answered
     * @param maximumLeaseMillis maximum duration of a lease
     */
    record Behaviour(
            boolean keepsConnections,
            boolean storesAcknowledgement,
            double unansweredShare,
            long maximumLeaseMillis) {}

    SoakMinion(
            String id,
            InetSocketAddress address,
            Behaviour behaviour,
            Random random,
            SoakRecord soakRecord)
            throws IOException {
        this.id = id;
        this.behaviour = behaviour;
        this.random = random;
        this.soakRecord = soakRecord;
        server = new ServerSocket(address.getPort(), 1_024, address.getAddress());
        lifetime = nextLifetime();
        startThread(this::accept);
        var unused =
                timer.scheduleWithFixedDelay(
                        this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
    }

    String id() {
        return id;
    }

    private SoakLifetime nextLifetime() {
        SoakLifetime.Traits traits =
                new SoakLifetime.Traits(
                        random.nextInt(30_000),
                        0.98 + 0.02 * random.nextDouble(),
                        behaviour.storesAcknowledgement(),
                        behaviour.maximumLeaseMillis());
        return new SoakLifetime(
                id + "/" + ++lifetimeCount, System.currentTimeMillis(), traits, soakRecord);
    }

    /** Ends the lifetime. Until the next one, nothing is accepted or read. */
    void goDown() {
        synchronized (gate) {
            if (down) {
                return;
            }
            down = true;
            lifetime.crash();
            if (!behaviour.keepsConnections()) {
                connections.forEach(SoakMinion::closeQuietly);
            }
        }
    }

    /** Starts the next lifetime. */
    void comeUp() {
        synchronized (gate) {
            if (down) {
                lifetime = nextLifetime();
                down = false;
                gate.notifyAll();
            }
        }
    }

    /** Stops leaving calls unanswered. */
    void answerAll() {
        redelivers = false;
    }

    /** Returns the changing fields of a status report, or an empty string while it is down. */
    String announcement() {
        synchronized (gate) {
            return down
                    ? ""
                    : String.format(
                            "\"born\":%d,\"clock_ms\":%d,\"sequence\":%d",
                            lifetime.born(), lifetime.clock(), lifetime.nextSequence());
        }
    }

    private SoakLifetime awaitLifetime() throws InterruptedException {
        synchronized (gate) {
            while (down) {
                gate.wait();
            }
            return lifetime;
        }
    }

    private void tick() {
        synchronized (gate) {
            lifetime.advance();
        }
    }

    private void accept() throws IOException, InterruptedException {
        while (!server.isClosed()) {
            Socket socket = server.accept();
            awaitLifetime();
            socket.setTcpNoDelay(true);
            connections.add(socket);
            startThread(() -> serve(socket));
        }
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        try (socket) {
            InputStream input = new BufferedInputStream(socket.getInputStream());
            while (true) {
                SoakHttp.Request request = SoakHttp.read(input);
                SoakLifetime current = awaitLifetime();
                boolean answered = !redelivers || !draws(behaviour.unansweredShare());
                if (!answered) {
                    deliverLater(request);
                }
                if (answered || draws(0.5)) {
                    SoakLifetime.Reply reply = handle(current, request, "");
                    if (answered && !socket.isClosed()) {
                        reply.source().noteListed(reply.body());
                        SoakHttp.write(socket.getOutputStream(), reply);
                        continue;
                    }
                }
                // The client closes the connection when it has waited long enough.
                input.readAllBytes();
                return;
            }
        } finally {
            connections.remove(socket);
        }
    }

    private boolean draws(double share) {
        synchronized (random) {
            return random.nextDouble() < share;
        }
    }

    private void deliverLater(SoakHttp.Request request) {
        long delay;
        synchronized (random) {
            delay = 100 + random.nextInt(LONGEST_DELAY_MILLIS - 100);
        }
        startThread(
                () -> {
                    Thread.sleep(delay);
                    handleLate(request, "late by " + delay);
                });
    }

    /** Carries out a call unless the worker is down. */
    private void handleLate(SoakHttp.Request request, String origin) throws InterruptedException {
        synchronized (gate) {
            if (!down) {
                handle(lifetime, request, origin);
            }
        }
    }

    private SoakLifetime.Reply handle(SoakLifetime current, SoakHttp.Request request, String origin)
            throws InterruptedException {
        if (!request.instance().equals(id)) {
            return new SoakLifetime.Reply(421, JsonFields.emptyObject(), current);
        }
        SoakLifetime.Reply reply = current.handle(request.path(), request.body(), origin);
        if (reply.status() != 200 || !request.path().equals("/api/hold") || !origin.isEmpty()) {
            return reply;
        }
        long end = soakRecord.millis() + request.body().nonNegativeLong("wait_ms");
        SoakLifetime listed = awaitLifetime();
        while (soakRecord.millis() < end && !listed.hasEnds()) {
            Thread.sleep(TICK_MILLIS);
            listed = awaitLifetime();
        }
        return listed.lists();
    }

    /** Work of a thread that ends with an exception when the worker is closed. */
    private interface ThreadBody {
        void run() throws IOException, InterruptedException;
    }

    private static void startThread(ThreadBody body) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                body.run();
                            } catch (IOException | InterruptedException exception) {
                                // The client or the worker has closed the connection.
                            }
                        },
                        "soak-minion");
        thread.setDaemon(true);
        thread.start();
    }

    private static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException exception) {
            // Nothing is left to close.
        }
    }

    @Override
    public void close() throws IOException {
        timer.shutdownNow();
        server.close();
        connections.forEach(SoakMinion::closeQuietly);
    }
}
