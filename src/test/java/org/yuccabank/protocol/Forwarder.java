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
 * TCP proxy that simulates a network device between two processes. Forwards connections, counts
 * their bytes and can drop the state of open connections. These then stay open but carry no data,
 * while new connections work.
 */
public final class Forwarder implements AutoCloseable {

    private static final int BUFFER_BYTES = 64 << 10;

    private final ServerSocket server;
    private final InetSocketAddress target;
    private final List<ForwardedConnection> connections = new CopyOnWriteArrayList<>();
    private final AtomicLong bytesToTarget = new AtomicLong();
    private final AtomicLong bytesFromTarget = new AtomicLong();
    private boolean holding;

    private Forwarder(ServerSocket server, InetSocketAddress target) {
        this.server = server;
        this.target = target;
    }

    /** Client connection and the connection to the target to which it is forwarded. */
    private static final class ForwardedConnection {
        private final Socket clientSocket;
        private final Socket targetSocket;
        private volatile boolean discarding;

        private ForwardedConnection(Socket clientSocket, Socket targetSocket) {
            this.clientSocket = clientSocket;
            this.targetSocket = targetSocket;
        }
    }

    public static Forwarder start(int port, InetSocketAddress target) {
        return start(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), target);
    }

    /** Starts a forwarder that listens on one of the loopback addresses. */
    public static Forwarder start(InetSocketAddress address, InetSocketAddress target) {
        try {
            ServerSocket server = new ServerSocket(address.getPort(), 50, address.getAddress());
            Forwarder forwarder = new Forwarder(server, target);
            startDaemonThread(forwarder::accept);
            return forwarder;
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }

    public InetSocketAddress address() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    /** Discards all further bytes on the open connections. */
    public void dropConnectionState() {
        connections.forEach(connection -> connection.discarding = true);
    }

    /** Sets whether bytes are held back, as on a link that is cut, and forwarded later. */
    public synchronized void setHolding(boolean newValue) {
        holding = newValue;
        notifyAll();
    }

    private synchronized void awaitRelease() throws IOException {
        try {
            while (holding) {
                wait();
            }
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw new IOException(exception);
        }
    }

    public int connectionCount() {
        return connections.size();
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
                forward(server.accept());
            }
        } catch (IOException exception) {
            // The forwarder was closed.
        }
    }

    private void forward(Socket clientSocket) {
        try {
            Socket targetSocket = new Socket(target.getAddress(), target.getPort());
            clientSocket.setTcpNoDelay(true);
            targetSocket.setTcpNoDelay(true);
            ForwardedConnection connection = new ForwardedConnection(clientSocket, targetSocket);
            connections.add(connection);
            startDaemonThread(
                    () -> copyBytes(connection, clientSocket, targetSocket, bytesToTarget));
            startDaemonThread(
                    () -> copyBytes(connection, targetSocket, clientSocket, bytesFromTarget));
        } catch (IOException exception) {
            closeQuietly(clientSocket);
        }
    }

    private void copyBytes(
            ForwardedConnection connection, Socket from, Socket to, AtomicLong counter) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            InputStream input = from.getInputStream();
            OutputStream output = to.getOutputStream();
            int count = input.read(buffer);
            while (count >= 0) {
                awaitRelease();
                if (!connection.discarding) {
                    counter.addAndGet(count);
                    output.write(buffer, 0, count);
                }
                count = input.read(buffer);
            }
            awaitRelease();
            if (!connection.discarding) {
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
            // Nothing is left to close.
        }
    }

    private static void startDaemonThread(Runnable body) {
        Thread thread = new Thread(body, "forwarder");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (ForwardedConnection connection : connections) {
            closeQuietly(connection.clientSocket);
            closeQuietly(connection.targetSocket);
        }
    }
}
