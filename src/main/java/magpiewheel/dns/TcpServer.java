package magpiewheel.dns;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import magpiewheel.engine.Actor;
import magpiewheel.engine.Counter;
import magpiewheel.engine.Counters;
import magpiewheel.engine.Pause;

/** Accepts resolvers' TCP connections, up to a limit, and runs a thread for each. */
final class TcpServer {
    private static final int ACCEPT_RETRY_MS = 5;
    /** Longest wait in accept, so that overdue connections are closed without a new one. */
    private static final int SWEEP_MS = 50;
    /**
     * Longest wait for connections left in the listen queue: the system has accepted them, so they are there at once.
     */
    private static final int QUEUED_ACCEPT_MS = 1;
    /** ns; all connections that were in the listen queue are accepted within this time. */
    private static final long MAX_QUEUED_ACCEPT_NS = TimeUnit.MILLISECONDS.toNanos(200);

    private final QueryResolver resolver;
    private final Counters counters;
    private final Semaphore permits;
    private final Set<TcpConnection> connections = ConcurrentHashMap.newKeySet();
    private Listening current;

    /** Creates a server for at most so many connections at once. */
    TcpServer(int maxConnections, QueryResolver resolver, Counters counters) {
        this.permits = new Semaphore(maxConnections);
        this.resolver = resolver;
        this.counters = counters;
    }

    /** Accepts connections on a listener until {@link #leave}. */
    synchronized void listen(ServerSocket listener) {
        current = new Listening(listener);
        Actor.daemonThread("dns-tcp", current::accept).start();
    }

    /** Whether a listener is open. */
    synchronized boolean isListening() {
        return current != null;
    }

    /** Closes the listener behind what is in its queue, and ends each connection once its queries are answered. */
    synchronized void leave() {
        if (current != null) {
            current.end();
            current = null;
        }
        connections.forEach(TcpConnection::end);
    }

    /** Closes the connections of resolvers that have taken too long over what is due from them. */
    void closeOverdue() {
        long now = System.nanoTime();
        connections.forEach(connection -> connection.closeIfOverdue(now));
    }

    /** Whether any connection has still to end orderly; after {@link #leave}. */
    boolean isEnding() {
        long now = System.nanoTime();
        return connections.stream().anyMatch(connection -> connection.isEnding(now));
    }

    /** Closes all connections at once. */
    void close() {
        connections.forEach(TcpConnection::close);
    }

    /** One listener, and the thread that accepts on it. */
    private final class Listening {
        private final ServerSocket listener;
        private volatile boolean ending;

        Listening(ServerSocket listener) {
            this.listener = listener;
        }

        void accept() {
            while (!ending) {
                acceptOne(SWEEP_MS);
                closeOverdue();
            }
        }

        /** Returns false if there was no connection to accept. */
        private boolean acceptOne(int waitMs) {
            try {
                listener.setSoTimeout(waitMs);
                admit(listener.accept());
                return true;
            } catch (SocketTimeoutException e) {
                return false;
            } catch (IOException e) {
                counters.add(Counter.DNS_DROPPED, ending ? 0 : 1);
                // Without free file descriptors accept fails immediately each time; the pause avoids a busy loop.
                Pause.ms(ACCEPT_RETRY_MS);
                return false;
            }
        }

        private void admit(Socket socket) throws IOException {
            if (!permits.tryAcquire()) {
                counters.add(Counter.DNS_DROPPED);
                socket.close();
                return;
            }
            TcpConnection connection = new TcpConnection(socket, resolver, counters);
            connections.add(connection);
            if (ending) {
                connection.end();
            }
            Actor.daemonThread("dns-client", () -> serve(connection)).start();
        }

        private void serve(TcpConnection connection) {
            try {
                connection.serve();
            } finally {
                connections.remove(connection);
                permits.release();
            }
        }

        /** On the caller's thread, so that the address is free when this returns. */
        void end() {
            ending = true;
            long startNs = System.nanoTime();
            while (System.nanoTime() - startNs < MAX_QUEUED_ACCEPT_NS && acceptOne(QUEUED_ACCEPT_MS)) {
                Thread.onSpinWait();
            }
            try {
                listener.close();
            } catch (IOException e) {
                // The socket is closed even if close() fails.
            }
        }
    }
}
