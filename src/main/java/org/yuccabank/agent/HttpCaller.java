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
 * Sends HTTP requests to one address over kept connections, one request at a time on each.
 *
 * <p>It uses the HTTP codec of Netty directly: Reactor Netty's client loads several hundred classes
 * more, which the memory limit of the agent does not allow. A request is sent once; it ends as "not
 * sent" only if no connection could be opened. Used on its event loop only.
 */
final class HttpCaller {

    /** Greatest response body. */
    static final int MAXIMUM_BODY_BYTES = 4 << 20;

    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final ArrayDeque<Channel> idle = new ArrayDeque<>();

    HttpCaller(EventLoop loop, InetSocketAddress address) {
        this.loop = loop;
        this.address = address;
    }

    /**
     * Sends a request.
     *
     * @param onEnd called once with the response or the failure, on the event loop
     */
    void call(
            HttpMethod method,
            String path,
            byte[] body,
            String contentType,
            long timeoutMillis,
            Consumer<HttpReply> onEnd) {
        FullHttpRequest request = request(method, path, body, contentType);
        Channel channel = idle.pollLast();
        while (channel != null && !channel.isActive()) {
            channel = idle.pollLast();
        }
        if (channel != null) {
            send(channel, request, timeoutMillis, onEnd);
        } else {
            connect(request, timeoutMillis, onEnd);
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

    private void connect(FullHttpRequest request, long timeoutMillis, Consumer<HttpReply> onEnd) {
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
                        result -> {
                            if (result.isSuccess()) {
                                send(connected.channel(), request, timeoutMillis, onEnd);
                            } else {
                                String reason = "cannot connect: " + result.cause().getMessage();
                                onEnd.accept(HttpReply.failed(ServeAnswer.Kind.NOT_SENT, reason));
                            }
                        });
    }

    private void send(
            Channel channel,
            FullHttpRequest request,
            long timeoutMillis,
            Consumer<HttpReply> onEnd) {
        Exchange exchange = channel.pipeline().get(Exchange.class);
        exchange.begin(channel, timeoutMillis, onEnd);
        var unused =
                channel.writeAndFlush(request).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
    }

    /** Closes the kept connections. */
    void stop() {
        for (Channel channel : idle) {
            var unused = channel.close();
        }
        idle.clear();
    }

    /** The request that is open on one connection. */
    private final class Exchange extends SimpleChannelInboundHandler<FullHttpResponse> {

        private Consumer<HttpReply> onEnd;
        private ScheduledFuture<?> timeout;

        void begin(Channel channel, long timeoutMillis, Consumer<HttpReply> callback) {
            onEnd = callback;
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
            HttpReply reply =
                    new HttpReply(
                            ServeAnswer.Kind.ANSWERED,
                            response.status().code(),
                            ByteBufUtil.getBytes(response.content()),
                            contentType,
                            "");
            if (HttpUtil.isKeepAlive(response)) {
                idle.addLast(context.channel());
            } else {
                var unused = context.close();
            }
            end(reply);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            idle.remove(context.channel());
            end(uncertain("the connection was closed before the response was whole"));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            end(uncertain("the response could not be read: " + cause.getMessage()));
            var unused = context.close();
        }

        private HttpReply uncertain(String detail) {
            return HttpReply.failed(ServeAnswer.Kind.UNCERTAIN, detail);
        }

        private void end(HttpReply reply) {
            Consumer<HttpReply> callback = onEnd;
            onEnd = null;
            if (timeout != null) {
                timeout.cancel(false);
                timeout = null;
            }
            if (callback != null) {
                callback.accept(reply);
            }
        }
    }
}
