package org.yuccabank.protocol;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.yuccabank.protocol.generated.Envelope;
import org.yuccabank.protocol.generated.Hello;

/**
 * Event loops and framing that all connections of a process share.
 *
 * <p>Each frame is a 4-byte length and an {@link Envelope}. Thread-safe.
 */
public final class PeerTransport {

    /** Maximum frame size: a body of 4 MiB and 64 KiB for the rest of the envelope. */
    public static final int MAXIMUM_FRAME_BYTES = (4 << 20) + (64 << 10);

    /**
     * Maximum request size, which leaves space for the correlation identifier and the configuration
     * version.
     */
    static final int MAXIMUM_REQUEST_BYTES = MAXIMUM_FRAME_BYTES - 64;

    /** Version of the peer protocol, sent in {@link Hello}. */
    public static final int PROTOCOL_VERSION = 1;

    private static final WriteBufferWaterMark WRITE_BUFFER_WATER_MARK =
            new WriteBufferWaterMark(MAXIMUM_FRAME_BYTES, 4 * MAXIMUM_FRAME_BYTES);
    private static final long SHUTDOWN_QUIET_PERIOD_MILLIS = 0;
    private static final long SHUTDOWN_TIMEOUT_MILLIS = 1_000;

    private final Hello hello;
    private final LongSupplier configurationVersion;
    private final PeerTimings timings;
    private final PeerSecurity security;
    private final EventLoopGroup eventLoopGroup;
    private final boolean ownsEventLoopGroup;
    private final Set<PeerConnection> connections = ConcurrentHashMap.newKeySet();

    private PeerTransport(
            Hello hello,
            LongSupplier configurationVersion,
            PeerTimings timings,
            PeerSecurity security,
            EventLoopGroup eventLoopGroup,
            boolean ownsEventLoopGroup) {
        this.hello = hello.toBuilder().setProtocolVersion(PROTOCOL_VERSION).build();
        this.configurationVersion = configurationVersion;
        this.timings = timings;
        this.security = security;
        this.eventLoopGroup = eventLoopGroup;
        this.ownsEventLoopGroup = ownsEventLoopGroup;
    }

    /**
     * Creates an event loop group for the servers, clients and transport of a process to share.
     *
     * @param name suffix of the thread names
     * @param threadCount number of threads
     * @return the event loop group, which the caller must shut down
     */
    public static EventLoopGroup eventLoopGroup(String name, int threadCount) {
        ThreadFactory threadFactory = new DefaultThreadFactory("network-" + name);
        return new MultiThreadIoEventLoopGroup(
                threadCount, threadFactory, NioIoHandler.newFactory());
    }

    /**
     * Starts a transport with its own event loops.
     *
     * @param hello message that identifies this process, sent first on each connection
     * @param configurationVersion newest known configuration version, sent with each message
     * @param timings timings of connections
     * @param security TLS of connections
     * @param threadCount number of event loop threads
     * @return the transport
     */
    public static PeerTransport start(
            Hello hello,
            LongSupplier configurationVersion,
            PeerTimings timings,
            PeerSecurity security,
            int threadCount) {
        Objects.requireNonNull(hello, "hello is null");
        EventLoopGroup eventLoopGroup = eventLoopGroup(hello.getProcessId(), threadCount);
        return new PeerTransport(
                hello, configurationVersion, timings, security, eventLoopGroup, true);
    }

    /**
     * Starts a transport without TLS on shared event loops. Work that a server passes to the
     * transport then stays on its thread, which avoids waking up another one.
     *
     * @param hello message that identifies this process, sent first on each connection
     * @param eventLoopGroup the event loops, which outlive the transport
     * @return the transport
     */
    public static PeerTransport startOn(Hello hello, EventLoopGroup eventLoopGroup) {
        Objects.requireNonNull(hello, "hello is null");
        Objects.requireNonNull(eventLoopGroup, "eventLoopGroup is null");
        return new PeerTransport(
                hello,
                () -> 0,
                PeerTimings.defaults(),
                PeerSecurity.plaintext(),
                eventLoopGroup,
                false);
    }

    /** Closes all connections, and shuts down the event loops if the transport created them. */
    public void stop() {
        connections.forEach(PeerConnection::close);
        if (ownsEventLoopGroup) {
            shutDown(eventLoopGroup);
        }
    }

    /**
     * Shuts down an event loop group after its running tasks have completed.
     *
     * @param eventLoopGroup the event loop group
     */
    public static void shutDown(EventLoopGroup eventLoopGroup) {
        eventLoopGroup
                .shutdownGracefully(
                        SHUTDOWN_QUIET_PERIOD_MILLIS,
                        SHUTDOWN_TIMEOUT_MILLIS,
                        TimeUnit.MILLISECONDS)
                .awaitUninterruptibly(SHUTDOWN_TIMEOUT_MILLIS);
    }

    /**
     * Returns one of the event loops, for roles that run their own logic on it.
     *
     * @return the event loop
     */
    public EventLoop eventLoop() {
        return eventLoopGroup.next();
    }

    /**
     * Returns the number of open connections.
     *
     * @return the count
     */
    public int connectionCount() {
        return connections.size();
    }

    ServerBootstrap serverBootstrap(PeerHandler handler) {
        return new ServerBootstrap()
                .group(eventLoopGroup)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_BUFFER_WATER_MARK)
                .childHandler(
                        new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                security.serverHandler(channel)
                                        .ifPresent(channel.pipeline()::addLast);
                                addFraming(channel, handler);
                            }
                        });
    }

    Bootstrap clientBootstrap(InetSocketAddress address, PeerHandler handler) {
        return new Bootstrap()
                .group(eventLoopGroup)
                .channel(NioSocketChannel.class)
                .remoteAddress(address)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_BUFFER_WATER_MARK)
                .option(
                        ChannelOption.CONNECT_TIMEOUT_MILLIS,
                        Math.toIntExact(timings.connectTimeout().toMillis()))
                .handler(
                        new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                security.clientHandler(channel)
                                        .ifPresent(channel.pipeline()::addLast);
                                addFraming(channel, handler);
                            }
                        });
    }

    private void addFraming(Channel channel, PeerHandler handler) {
        channel.pipeline()
                .addLast(new EnvelopeDecoder(MAXIMUM_FRAME_BYTES))
                .addLast(new EnvelopeEncoder(MAXIMUM_FRAME_BYTES))
                .addLast(new PeerConnection(this, handler));
    }

    void register(PeerConnection connection) {
        connections.add(connection);
    }

    void unregister(PeerConnection connection) {
        connections.remove(connection);
    }

    Hello hello() {
        return hello;
    }

    long configurationVersion() {
        return configurationVersion.getAsLong();
    }

    PeerTimings timings() {
        return timings;
    }
}
