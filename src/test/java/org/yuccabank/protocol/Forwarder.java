package org.yuccabank.protocol;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Stands for a device between two processes: forwards connections, counts their bytes, and can lose
 * the state of the open connections, which then stay open and silent while new ones work.
 */
public final class Forwarder implements AutoCloseable {

    private static final int BUFFER_BYTES = 64 << 10;

    private final ServerSocket server;
    private final InetSocketAddress target;
    private final List<Link> links = new CopyOnWriteArrayList<>();
    private final AtomicLong bytesToTarget = new AtomicLong();
    private final AtomicLong bytesFromTarget = new AtomicLong();

    private Forwarder(ServerSocket server, InetSocketAddress target) {
        this.server = server;
        this.target = target;
    }

    /** One connection with both of its sides. */
    private static final class Link {
        private final Socket left;
        private final Socket right;
        private volatile boolean silent;

        private Link(Socket left, Socket right) {
            this.left = left;
            this.right = right;
        }
    }

    public static Forwarder start(int port, InetSocketAddress target) {
        try {
            ServerSocket server = new ServerSocket(port, 50, InetAddress.getLoopbackAddress());
            Forwarder forwarder = new Forwarder(server, target);
            thread(forwarder::accept);
            return forwarder;
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    public InetSocketAddress address() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    /** Makes every open connection silent for good. */
    public void loseState() {
        links.forEach(link -> link.silent = true);
    }

    public int connectionCount() {
        return links.size();
    }

    public long bytesToTarget() {
        return bytesToTarget.get();
    }

    public long bytesFromTarget() {
        return bytesFromTarget.get();
    }

    private void accept() {
        try {
            while (true) {
                Socket left = server.accept();
                Socket right = new Socket(target.getAddress(), target.getPort());
                left.setTcpNoDelay(true);
                right.setTcpNoDelay(true);
                Link link = new Link(left, right);
                links.add(link);
                thread(() -> pump(link, left, right, bytesToTarget));
                thread(() -> pump(link, right, left, bytesFromTarget));
            }
        } catch (IOException exception) {
            // The forwarder was closed.
        }
    }

    private static void pump(Link link, Socket from, Socket to, AtomicLong counter) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            InputStream input = from.getInputStream();
            OutputStream output = to.getOutputStream();
            int count = input.read(buffer);
            while (count >= 0) {
                if (!link.silent) {
                    counter.addAndGet(count);
                    output.write(buffer, 0, count);
                }
                count = input.read(buffer);
            }
            if (!link.silent) {
                to.close();
            }
        } catch (IOException exception) {
            closeQuietly(from);
            closeQuietly(to);
        }
    }

    private static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException exception) {
            // It is closed either way.
        }
    }

    private static void thread(Runnable body) {
        Thread thread = new Thread(body, "forwarder");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Link link : links) {
            closeQuietly(link.left);
            closeQuietly(link.right);
        }
    }
}
