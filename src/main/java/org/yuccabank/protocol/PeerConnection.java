package org.yuccabank.protocol;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.yuccabank.event.Event;
import org.yuccabank.event.EventLog;
import org.yuccabank.protocol.generated.Envelope;
import org.yuccabank.protocol.generated.Heartbeat;
import org.yuccabank.protocol.generated.Hello;
import org.yuccabank.protocol.generated.ProtocolError;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/**
 * Connection to another process that carries requests in both directions.
 *
 * <p>Invariants: a reply completes only the request with the same correlation identifier; every
 * request completes with its reply or with a {@link PeerException}; a connection that receives no
 * frame within the idle timeout is closed. Thread-safe.
 */
public final class PeerConnection extends SimpleChannelInboundHandler<Envelope> {

    private final PeerTransport transport;
    private final PeerHandler handler;
    private final Map<Long, MonoSink<Envelope>> pendingRequests = new ConcurrentHashMap<>();
    private final AtomicLong lastCorrelationId = new AtomicLong();
    private volatile Channel channel;
    private volatile long lastReadNanos;
    private volatile long lastWriteNanos;
    private volatile Hello remoteHello = Hello.getDefaultInstance();
    private ScheduledFuture<?> heartbeatTask;

    PeerConnection(PeerTransport transport, PeerHandler handler) {
        super(Envelope.class);
        this.transport = transport;
        this.handler = handler;
    }

    /**
     * Sends a request and returns its reply.
     *
     * @param request the request; its correlation identifier is overwritten
     * @param timeout time to wait for the reply
     * @return the reply, or an error with a {@link PeerException}
     */
    public Mono<Envelope> request(Envelope request, Duration timeout) {
        return Mono.defer(() -> sendAndAwait(request, timeout));
    }

    private Mono<Envelope> sendAndAwait(Envelope request, Duration timeout) {
        Channel current = channel;
        if (current == null || !current.isActive()) {
            return Mono.error(PeerException.notSent("connection is closed"));
        }
        if (!current.isWritable()) {
            // The outbound buffer must not grow without limit when a peer does not read.
            return Mono.error(PeerException.notSent("connection is congested"));
        }
        if (request.getSerializedSize() > PeerTransport.MAXIMUM_REQUEST_BYTES) {
            return Mono.error(PeerException.notSent("request is too long"));
        }
        return Mono.create(
                sink -> {
                    long correlationId = lastCorrelationId.incrementAndGet();
                    pendingRequests.put(correlationId, sink);
                    ScheduledFuture<?> timeoutTask = scheduleTimeout(timeout, sink, current);
                    sink.onDispose(
                            () -> {
                                timeoutTask.cancel(false);
                                pendingRequests.remove(correlationId);
                            });
                    write(current, request, correlationId, false);
                    if (!current.isActive()) {
                        sink.error(PeerException.inDoubt("connection was closed"));
                    }
                });
    }

    /** Schedules the timeout on the connection's event loop, which avoids a timer thread. */
    private static ScheduledFuture<?> scheduleTimeout(
            Duration timeout, MonoSink<Envelope> sink, Channel current) {
        long millis = timeout.toMillis();
        return current.eventLoop()
                .schedule(
                        () ->
                                sink.error(
                                        PeerException.inDoubt("no reply within " + millis + " ms")),
                        millis,
                        TimeUnit.MILLISECONDS);
    }

    /**
     * Sends a message that needs no reply. It is dropped if the connection is closed or congested.
     *
     * @param message the message
     */
    public void send(Envelope message) {
        Channel current = channel;
        if (current != null && current.isWritable()) {
            write(current, message, 0, false);
        }
    }

    private void write(Channel outputChannel, Envelope message, long correlationId, boolean reply) {
        lastWriteNanos = System.nanoTime();
        Envelope envelope =
                message.toBuilder()
                        .setCorrelationId(correlationId)
                        .setReply(reply)
                        .setConfigurationVersion(transport.configurationVersion())
                        .build();
        var unused =
                outputChannel
                        .writeAndFlush(envelope)
                        .addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
    }

    /**
     * Returns the peer's {@link Hello} message.
     *
     * @return the message; empty until it has arrived
     */
    public Optional<Hello> remoteHello() {
        return remoteHello.getProcessId().isEmpty() ? Optional.empty() : Optional.of(remoteHello);
    }

    /**
     * Returns whether the connection is open.
     *
     * @return true while the channel is active
     */
    public boolean isOpen() {
        Channel current = channel;
        return current != null && current.isActive();
    }

    /** Closes the connection; pending requests fail as in doubt. */
    public void close() {
        Channel current = channel;
        if (current != null) {
            var unused = current.close();
        }
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        // The connect listener may run, and send a request, before channelActive is called.
        channel = context.channel();
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        lastReadNanos = System.nanoTime();
        Envelope hello = Envelope.newBuilder().setHello(transport.hello()).build();
        write(channel, hello, 0, false);
        long interval = transport.timings().heartbeatInterval().toMillis();
        heartbeatTask =
                context.executor()
                        .scheduleAtFixedRate(
                                this::checkLiveness, interval, interval, TimeUnit.MILLISECONDS);
        transport.register(this);
    }

    private void checkLiveness() {
        long sinceReadNanos = System.nanoTime() - lastReadNanos;
        if (sinceReadNanos > transport.timings().idleTimeout().toNanos()) {
            EventLog.warning(
                    Event.CONNECTION_SILENT,
                    "peer",
                    peerName(),
                    "silentMs",
                    TimeUnit.NANOSECONDS.toMillis(sinceReadNanos));
            close();
            return;
        }
        long sinceWriteNanos = System.nanoTime() - lastWriteNanos;
        if (sinceWriteNanos < transport.timings().heartbeatInterval().toNanos()) {
            // A recent frame of any kind replaces the heartbeat.
            return;
        }
        Heartbeat heartbeat =
                Heartbeat.newBuilder().setSentAtMillis(System.currentTimeMillis()).build();
        write(channel, Envelope.newBuilder().setHeartbeat(heartbeat).build(), 0, false);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Envelope message) {
        lastReadNanos = System.nanoTime();
        switch (message.getBodyCase()) {
            case HEARTBEAT -> {}
            case HELLO -> remoteHello = message.getHello();
            default -> {
                if (message.getReply()) {
                    completeRequest(message);
                } else {
                    handleRequest(message);
                }
            }
        }
    }

    private void completeRequest(Envelope reply) {
        MonoSink<Envelope> sink = pendingRequests.remove(reply.getCorrelationId());
        if (sink != null) {
            sink.success(reply);
        }
    }

    private void handleRequest(Envelope request) {
        long correlationId = request.getCorrelationId();
        Channel current = channel;
        Mono.defer(() -> handler.handle(this, request))
                .onErrorResume(error -> Mono.just(internalError(error)))
                .subscribe(
                        reply -> {
                            if (correlationId != 0 && current.isActive()) {
                                write(current, reply, correlationId, true);
                            }
                        });
    }

    private static Envelope internalError(Throwable error) {
        EventLog.error(Event.INTERNAL_ERROR, error);
        return Envelope.newBuilder()
                .setProtocolError(
                        ProtocolError.newBuilder().setCode("internal").setMessage("internal error"))
                .build();
    }

    /**
     * Stops reading while the outbound buffer is full, so that replies to a peer that does not read
     * them cannot exhaust the memory. If this lasts for the idle timeout, the connection is closed.
     */
    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        context.channel().config().setAutoRead(context.channel().isWritable());
        context.fireChannelWritabilityChanged();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (heartbeatTask != null) {
            heartbeatTask.cancel(false);
        }
        transport.unregister(this);
        for (MonoSink<Envelope> sink : pendingRequests.values()) {
            sink.error(PeerException.inDoubt("connection was closed"));
        }
        pendingRequests.clear();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (cause instanceof DecoderException) {
            EventLog.warning(Event.FRAME_REFUSED, "peer", peerName(), "cause", cause.getMessage());
        }
        var unused = context.close();
    }

    private String peerName() {
        return remoteHello()
                .map(Hello::getProcessId)
                .orElseGet(() -> String.valueOf(channel.remoteAddress()));
    }
}
