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
 * Network threads and framing that all connections of a process share.
 *
 * <p>Each frame is a 4-byte length and an {@link Envelope}. Safe for use by several threads.
 */
public final class PeerTransport {

    /** Greatest frame: a 4 MiB body and 64 KiB for the rest of the envelope. */
    public static final int MAXIMUM_FRAME_BYTES = (4 << 20) + (64 << 10);

    /** Greatest request: room is left for the correlation and the configuration version. */
    static final int MAXIMUM_REQUEST_BYTES = MAXIMUM_FRAME_BYTES - 64;

    /** Version of the inner protocol, sent in {@link Hello}. */
    public static final int PROTOCOL_VERSION = 1;

    private static final WriteBufferWaterMark WATER_MARK =
            new WriteBufferWaterMark(MAXIMUM_FRAME_BYTES, 4 * MAXIMUM_FRAME_BYTES);
    private static final long SHUTDOWN_QUIET_MILLIS = 0;
    private static final long SHUTDOWN_LIMIT_MILLIS = 1_000;

    private final Hello greeting;
    private final LongSupplier configurationVersion;
    private final PeerTimings timings;
    private final PeerSecurity security;
    private final EventLoopGroup threads;
    private final boolean ownsThreads;
    private final Set<PeerConnection> connections = ConcurrentHashMap.newKeySet();

    private PeerTransport(
            Hello greeting,
            LongSupplier configurationVersion,
            PeerTimings timings,
            PeerSecurity security,
            EventLoopGroup threads,
            boolean ownsThreads) {
        this.greeting = greeting.toBuilder().setProtocolVersion(PROTOCOL_VERSION).build();
        this.configurationVersion = configurationVersion;
        this.timings = timings;
        this.security = security;
        this.threads = threads;
        this.ownsThreads = ownsThreads;
    }

    /**
     * Creates network threads, for a process whose servers, clients and transport share them.
     *
     * @param name name of the threads
     * @param threadCount number of threads
     * @return the threads, which their creator shuts down
     */
    public static EventLoopGroup threads(String name, int threadCount) {
        ThreadFactory names = new DefaultThreadFactory("network-" + name);
        return new MultiThreadIoEventLoopGroup(threadCount, names, NioIoHandler.newFactory());
    }

    /**
     * Starts the network threads of a process.
     *
     * @param greeting what this process says about itself on each connection
     * @param configurationVersion newest configuration version known here, sent with each message
     * @param timings times of connections
     * @param security TLS of connections
     * @param threadCount number of network threads
     * @return the transport
     */
    public static PeerTransport start(
            Hello greeting,
            LongSupplier configurationVersion,
            PeerTimings timings,
            PeerSecurity security,
            int threadCount) {
        Objects.requireNonNull(greeting, "greeting is null");
        EventLoopGroup owned = threads(greeting.getProcessId(), threadCount);
        return new PeerTransport(greeting, configurationVersion, timings, security, owned, true);
    }

    /**
     * Starts a transport without TLS on network threads that others use too. Work that passes from
     * a server to the transport then stays on its thread and wakes up no other.
     *
     * @param greeting what this process says about itself on each connection
     * @param threads the threads, which outlive the transport
     * @return the transport
     */
    public static PeerTransport startOn(Hello greeting, EventLoopGroup threads) {
        Objects.requireNonNull(greeting, "greeting is null");
        Objects.requireNonNull(threads, "threads is null");
        return new PeerTransport(
                greeting, () -> 0, PeerTimings.standard(), PeerSecurity.off(), threads, false);
    }

    /** Closes all connections and ends the network threads if they are its own. */
    public void stop() {
        connections.forEach(PeerConnection::close);
        if (ownsThreads) {
            end(threads);
        }
    }

    /**
     * Ends network threads after what they have begun.
     *
     * @param threads the threads
     */
    public static void end(EventLoopGroup threads) {
        threads.shutdownGracefully(
                        SHUTDOWN_QUIET_MILLIS, SHUTDOWN_LIMIT_MILLIS, TimeUnit.MILLISECONDS)
                .awaitUninterruptibly(SHUTDOWN_LIMIT_MILLIS);
    }

    /**
     * One of the network threads, for roles that run their decisions on it.
     *
     * @return the thread's event loop
     */
    public EventLoop eventLoop() {
        return threads.next();
    }

    /**
     * Number of open connections.
     *
     * @return the count
     */
    public int connectionCount() {
        return connections.size();
    }

    ServerBootstrap serverBootstrap(PeerHandler handler) {
        return new ServerBootstrap()
                .group(threads)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK)
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
                .group(threads)
                .channel(NioSocketChannel.class)
                .remoteAddress(address)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK)
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

    void opened(PeerConnection connection) {
        connections.add(connection);
    }

    void closed(PeerConnection connection) {
        connections.remove(connection);
    }

    Hello greeting() {
        return greeting;
    }

    long configurationVersion() {
        return configurationVersion.getAsLong();
    }

    PeerTimings timings() {
        return timings;
    }
}
