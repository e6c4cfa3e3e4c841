package org.yuccabank.agent;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;

/**
 * A minimal HTTP server for announcements, metrics and health, built on Netty's HTTP codec.
 * Requests are handled on the event loop.
 */
final class HttpListener {

    private static final int MAXIMUM_BODY_BYTES = 16 << 10;

    /** Handles requests. */
    interface Handler {

        /**
         * Handles a request.
         *
         * @param path path of the request, without the query
         */
        Response handle(String method, String path, byte[] body);
    }

    /** An HTTP response with a text body. */
    record Response(int status, String contentType, String body) {

        static Response text(int status, String body) {
            return new Response(status, "text/plain; charset=utf-8", body);
        }

        static Response json(int status, String body) {
            return new Response(status, "application/json", body);
        }
    }

    private final Channel channel;

    private HttpListener(Channel channel) {
        this.channel = channel;
    }

    static HttpListener start(EventLoop loop, InetSocketAddress address, Handler handler) {
        var bound =
                new ServerBootstrap()
                        .group(loop)
                        .channel(NioServerSocketChannel.class)
                        .childHandler(
                                new ChannelInitializer<Channel>() {
                                    @Override
                                    protected void initChannel(Channel accepted) {
                                        accepted.pipeline()
                                                .addLast(new HttpServerCodec())
                                                .addLast(
                                                        new HttpObjectAggregator(
                                                                MAXIMUM_BODY_BYTES))
                                                .addLast(new RequestAdapter(handler));
                                    }
                                })
                        .bind(address)
                        .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            String reason = "cannot listen on " + address + ": " + bound.cause().getMessage();
            throw new UncheckedIOException(new IOException(reason, bound.cause()));
        }
        return new HttpListener(bound.channel());
    }

    InetSocketAddress address() {
        return (InetSocketAddress) channel.localAddress();
    }

    void stop() {
        var unused = channel.close();
    }

    /** Passes the requests of a connection to the handler and writes its responses. */
    private static final class RequestAdapter extends SimpleChannelInboundHandler<FullHttpRequest> {

        private final Handler handler;

        private RequestAdapter(Handler handler) {
            this.handler = handler;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            if (request.decoderResult().isFailure()) {
                var unused = context.close();
                return;
            }
            String path = request.uri().split("\\?", 2)[0];
            byte[] body = ByteBufUtil.getBytes(request.content());
            Response response = handler.handle(request.method().name(), path, body);
            FullHttpResponse message =
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.valueOf(response.status()),
                            Unpooled.wrappedBuffer(
                                    response.body()
                                            .getBytes(java.nio.charset.StandardCharsets.UTF_8)));
            HttpUtil.setContentLength(message, message.content().readableBytes());
            message.headers().set(HttpHeaderNames.CONTENT_TYPE, response.contentType());
            boolean keepAlive = HttpUtil.isKeepAlive(request);
            HttpUtil.setKeepAlive(message, keepAlive);
            var written = context.writeAndFlush(message);
            if (!keepAlive) {
                var unused = written.addListener(ChannelFutureListener.CLOSE);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            var unused = context.close();
        }
    }
}
