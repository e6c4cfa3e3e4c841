package org.yuccabank.platform;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.file.Path;
import org.yuccabank.agent.workflow.WorkflowAgent;
import org.yuccabank.agent.workflow.WorkflowAgentConfiguration;
import org.yuccabank.event.EventLog;
import reactor.core.publisher.Mono;

/**
 * Process of an agent whose connections to control processes lead through a forwarder, which can be
 * cut. The addresses of control processes come from redirects too, so they are replaced when a
 * connection is opened.
 */
final class SoakAgent {

    private SoakAgent() {}

    /** Replaces the port of control processes by that of the forwarders. */
    private static final class ForwardedEventLoops extends MultiThreadIoEventLoopGroup {
        private final int controlPort;
        private final int forwarderPort;

        private ForwardedEventLoops(int controlPort, int forwarderPort) {
            super(1, NioIoHandler.newFactory());
            this.controlPort = controlPort;
            this.forwarderPort = forwarderPort;
        }

        @Override
        public ChannelFuture register(Channel channel) {
            channel.pipeline()
                    .addFirst(
                            new ChannelOutboundHandlerAdapter() {
                                @Override
                                public void connect(
                                        ChannelHandlerContext context,
                                        SocketAddress remote,
                                        SocketAddress local,
                                        ChannelPromise promise) {
                                    context.connect(forwarder(remote), local, promise);
                                }
                            });
            return super.register(channel);
        }

        private SocketAddress forwarder(SocketAddress remote) {
            InetSocketAddress address = (InetSocketAddress) remote;
            return address.getPort() == controlPort
                    ? new InetSocketAddress(address.getAddress(), forwarderPort)
                    : address;
        }
    }

    /** Arguments: settings file, port of the forwarders. */
    public static void main(String[] arguments) throws InterruptedException {
        PlatformSettings settings = PlatformSettings.read(Path.of(arguments[0])).get();
        EventLog.useJson(settings.processName());
        EventLoopGroup eventLoops =
                new ForwardedEventLoops(
                        settings.protocolAddress().getPort(), Integer.parseInt(arguments[1]));
        WorkflowAgent agent =
                WorkflowAgent.start(
                        new WorkflowAgentConfiguration(
                                settings.processName(),
                                settings.processName(),
                                settings.dataCentre(),
                                settings.controlAddresses(),
                                AgentRole.leaseDurations(settings),
                                settings.contactMillis()),
                        new MinionClient(settings.workerAddress().orElseThrow(), eventLoops),
                        eventLoops);
        HttpServers.serve(
                settings.operatorAddress().orElseThrow(),
                eventLoops,
                request -> announce(agent, settings.processName(), request));
        Thread.currentThread().join();
    }

    private static Mono<HttpServers.Response> announce(
            WorkflowAgent agent, String hostId, HttpServers.Request request) {
        String workerId = request.path().split("/", -1)[3];
        return agent.announce(AnnouncementDecoder.decode(workerId, hostId, request.body()).get())
                .map(handled -> HttpServers.Response.of(handled ? 200 : 503));
    }
}
