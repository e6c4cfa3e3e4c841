package org.yuccabank.agent;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * An HTTP client for one address with a pool of keep-alive connections. There is at most one
 * request in progress on each connection.
 *
 * <p>Uses Netty's HTTP codec directly, because Reactor Netty's client loads several hundred more
 * classes, which exceeds the agent's memory limit. A request is sent at most once; it ends as
 * {@link ServeResult.Kind#NOT_SENT} only if no connection could be opened. Confined to its event
 * loop.
 */
final class PooledHttpClient {

    /** Maximum size of a response body. */
    static final int MAXIMUM_BODY_BYTES = 4 << 20;

    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final ArrayDeque<Channel> idleChannels = new ArrayDeque<>();

    PooledHttpClient(EventLoop loop, InetSocketAddress address) {
        this.loop = loop;
        this.address = address;
    }

    /**
     * Sends a request.
     *
     * @param onResult called once on the event loop, with the response or the failure
     */
    void call(
            HttpMethod method,
            String path,
            byte[] body,
            String contentType,
            long timeoutMillis,
            Consumer<HttpResult> onResult) {
        FullHttpRequest request = request(method, path, body, contentType);
        Channel channel = idleChannels.pollLast();
        while (channel != null && !channel.isActive()) {
            channel = idleChannels.pollLast();
        }
        if (channel != null) {
            send(channel, request, timeoutMillis, onResult);
        } else {
            connect(request, timeoutMillis, onResult);
        }
    }

    private FullHttpRequest request(
            HttpMethod method, String path, byte[] body, String contentType) {
        ByteBuf content = Unpooled.wrappedBuffer(body);
        FullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, path, content);
        request.headers().set(HttpHeaderNames.HOST, address.getHostString());
        request.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
        if (!contentType.isEmpty()) {
            request.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
        }
        return request;
    }

    private void connect(
            FullHttpRequest request, long timeoutMillis, Consumer<HttpResult> onResult) {
        ChannelFuture connected =
                new Bootstrap()
                        .group(loop)
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                        .handler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        channel.pipeline()
                                                .addLast(new HttpClientCodec())
                                                .addLast(
                                                        new HttpObjectAggregator(
                                                                MAXIMUM_BODY_BYTES))
                                                .addLast(new Exchange());
                                    }
                                })
                        .connect(address);
        var unused =
                connected.addListener(
                        future -> {
                            if (future.isSuccess()) {
                                send(connected.channel(), request, timeoutMillis, onResult);
                            } else {
                                String reason = "cannot connect: " + future.cause().getMessage();
                                onResult.accept(
                                        HttpResult.failed(ServeResult.Kind.NOT_SENT, reason));
                            }
                        });
    }

    private void send(
            Channel channel,
            FullHttpRequest request,
            long timeoutMillis,
            Consumer<HttpResult> onResult) {
        Exchange exchange = channel.pipeline().get(Exchange.class);
        exchange.begin(channel, timeoutMillis, onResult);
        var unused =
                channel.writeAndFlush(request).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
    }

    /** Closes the idle connections. */
    void stop() {
        for (Channel channel : idleChannels) {
            var unused = channel.close();
        }
        idleChannels.clear();
    }

    /** The request in progress on a connection. */
    private final class Exchange extends SimpleChannelInboundHandler<FullHttpResponse> {

        private Consumer<HttpResult> onResult;
        private ScheduledFuture<?> timeout;

        void begin(Channel channel, long timeoutMillis, Consumer<HttpResult> callback) {
            onResult = callback;
            timeout =
                    loop.schedule(
                            () -> {
                                end(uncertain("no response within " + timeoutMillis + " ms"));
                                var unused = channel.close();
                            },
                            timeoutMillis,
                            TimeUnit.MILLISECONDS);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            if (response.decoderResult().isFailure()) {
                var unused = context.close();
                return;
            }
            String contentType = response.headers().get(HttpHeaderNames.CONTENT_TYPE, "");
            HttpResult result =
                    new HttpResult(
                            ServeResult.Kind.ANSWERED,
                            response.status().code(),
                            ByteBufUtil.getBytes(response.content()),
                            contentType,
                            "");
            if (HttpUtil.isKeepAlive(response)) {
                idleChannels.addLast(context.channel());
            } else {
                var unused = context.close();
            }
            end(result);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            idleChannels.remove(context.channel());
            end(uncertain("the connection was closed before the response was whole"));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            end(uncertain("the response could not be read: " + cause.getMessage()));
            var unused = context.close();
        }

        private HttpResult uncertain(String detail) {
            return HttpResult.failed(ServeResult.Kind.UNCERTAIN, detail);
        }

        private void end(HttpResult result) {
            Consumer<HttpResult> callback = onResult;
            onResult = null;
            if (timeout != null) {
                timeout.cancel(false);
                timeout = null;
            }
            if (callback != null) {
                callback.accept(result);
            }
        }
    }
}
