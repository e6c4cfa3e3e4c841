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
 * One open connection to another process, used for requests in both directions.
 *
 * <p>Invariants: a reply is given only to the request with its correlation identifier; a request
 * ends with its reply or with a {@link PeerException}; a connection on which no frame came for the
 * silence limit is closed. Safe for use by several threads.
 */
public final class PeerConnection extends SimpleChannelInboundHandler<Envelope> {

    private final PeerTransport transport;
    private final PeerHandler handler;
    private final Map<Long, MonoSink<Envelope>> pending = new ConcurrentHashMap<>();
    private final AtomicLong lastCorrelation = new AtomicLong();
    private volatile Channel channel;
    private volatile long lastFrameNanos;
    private volatile long lastWriteNanos;
    private volatile Hello remote = Hello.getDefaultInstance();
    private ScheduledFuture<?> heartbeats;

    PeerConnection(PeerTransport transport, PeerHandler handler) {
        super(Envelope.class);
        this.transport = transport;
        this.handler = handler;
    }

    /**
     * Sends a request and awaits its reply.
     *
     * @param request the request; its correlation identifier is set here
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
            // A peer that does not read must not make the queue of this process grow.
            return Mono.error(PeerException.notSent("connection is congested"));
        }
        if (request.getSerializedSize() > PeerTransport.MAXIMUM_REQUEST_BYTES) {
            return Mono.error(PeerException.notSent("request is too long"));
        }
        return Mono.create(
                sink -> {
                    long correlation = lastCorrelation.incrementAndGet();
                    pending.put(correlation, sink);
                    ScheduledFuture<?> expiry = expireAfter(timeout, sink, current);
                    sink.onDispose(
                            () -> {
                                expiry.cancel(false);
                                pending.remove(correlation);
                            });
                    write(current, request, correlation, false);
                    if (!current.isActive()) {
                        sink.error(PeerException.inDoubt("connection was closed"));
                    }
                });
    }

    /** The event loop of the connection keeps the time, so that no timer threads are needed. */
    private static ScheduledFuture<?> expireAfter(
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
     * Sends a message that needs no reply; it is dropped if the connection is closed or congested.
     *
     * @param message the message
     */
    public void send(Envelope message) {
        Channel current = channel;
        if (current != null && current.isWritable()) {
            write(current, message, 0, false);
        }
    }

    private void write(Channel target, Envelope message, long correlation, boolean reply) {
        lastWriteNanos = System.nanoTime();
        Envelope framed =
                message.toBuilder()
                        .setCorrelationId(correlation)
                        .setReply(reply)
                        .setConfigurationVersion(transport.configurationVersion())
                        .build();
        var unused =
                target.writeAndFlush(framed).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
    }

    /**
     * What the peer said about itself.
     *
     * @return the greeting, empty until it arrived
     */
    public Optional<Hello> remote() {
        return remote.getProcessId().isEmpty() ? Optional.empty() : Optional.of(remote);
    }

    /**
     * Tells whether the connection is open.
     *
     * @return true while frames can be sent
     */
    public boolean isOpen() {
        Channel current = channel;
        return current != null && current.isActive();
    }

    /** Closes the connection; requests without reply end as in doubt. */
    public void close() {
        Channel current = channel;
        if (current != null) {
            var unused = current.close();
        }
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        // The connect listener may run before channelActive and already send a request.
        channel = context.channel();
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        lastFrameNanos = System.nanoTime();
        Envelope greeting = Envelope.newBuilder().setHello(transport.greeting()).build();
        write(channel, greeting, 0, false);
        long interval = transport.timings().heartbeatInterval().toMillis();
        heartbeats =
                context.executor()
                        .scheduleAtFixedRate(
                                this::checkLiveness, interval, interval, TimeUnit.MILLISECONDS);
        transport.opened(this);
    }

    private void checkLiveness() {
        long silentNanos = System.nanoTime() - lastFrameNanos;
        if (silentNanos > transport.timings().silenceLimit().toNanos()) {
            EventLog.warning(
                    Event.CONNECTION_SILENT,
                    "peer",
                    describe(),
                    "silentMs",
                    TimeUnit.NANOSECONDS.toMillis(silentNanos));
            close();
            return;
        }
        long quietNanos = System.nanoTime() - lastWriteNanos;
        if (quietNanos < transport.timings().heartbeatInterval().toNanos()) {
            // Any frame shows the peer that the connection works.
            return;
        }
        Heartbeat heartbeat =
                Heartbeat.newBuilder().setSentAtMillis(System.currentTimeMillis()).build();
        write(channel, Envelope.newBuilder().setHeartbeat(heartbeat).build(), 0, false);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Envelope message) {
        lastFrameNanos = System.nanoTime();
        switch (message.getBodyCase()) {
            case HEARTBEAT -> {}
            case HELLO -> remote = message.getHello();
            default -> {
                if (message.getReply()) {
                    complete(message);
                } else {
                    answer(message);
                }
            }
        }
    }

    private void complete(Envelope reply) {
        MonoSink<Envelope> sink = pending.remove(reply.getCorrelationId());
        if (sink != null) {
            sink.success(reply);
        }
    }

    private void answer(Envelope request) {
        long correlation = request.getCorrelationId();
        Channel current = channel;
        Mono.defer(() -> handler.handle(this, request))
                .onErrorResume(error -> Mono.just(internalError(error)))
                .subscribe(
                        reply -> {
                            if (correlation != 0 && current.isActive()) {
                                write(current, reply, correlation, true);
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
     * Reads nothing from a peer that does not read its replies, so that they do not fill the
     * memory. If it does not read until the silence limit, the connection is closed.
     */
    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        context.channel().config().setAutoRead(context.channel().isWritable());
        context.fireChannelWritabilityChanged();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (heartbeats != null) {
            heartbeats.cancel(false);
        }
        transport.closed(this);
        for (MonoSink<Envelope> sink : pending.values()) {
            sink.error(PeerException.inDoubt("connection was closed"));
        }
        pending.clear();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (cause instanceof DecoderException) {
            EventLog.warning(Event.FRAME_REFUSED, "peer", describe(), "cause", cause.getMessage());
        }
        var unused = context.close();
    }

    private String describe() {
        return remote().map(Hello::getProcessId)
                .orElseGet(() -> String.valueOf(channel.remoteAddress()));
    }
}
