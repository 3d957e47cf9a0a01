package magpiewheel.admin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Iterator;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import magpiewheel.engine.Actor;
import magpiewheel.engine.Counter;
import magpiewheel.engine.Counters;
import magpiewheel.engine.LingeringClose;
import magpiewheel.engine.WorkerPool;

/**
 * The admin server: HTTP/1.1 at an address of its own, one call a connection. A call holds no state but its own
 * connection's, so its reader answers it; nothing here waits for an actor, so that a front under load still answers. It
 * has few places: with all taken, the call that has been unfinished for longest makes room.
 */
public final class AdminServer {
    /** What operators can ask of the front. None of it may wait. */
    public interface Service {
        /** Whether this process can serve. */
        boolean serving();

        /** The figures, a line each. */
        String stats();

        /** Sends clients away. */
        void quiesce();

        /** Takes clients again. */
        void resume();
    }

    private static final int MAX_CONNECTIONS = 12;
    private static final int BACKLOG = 64;
    /** ns; who has not finished a call by then is closed. */
    private static final long REQUEST_TIMEOUT_NS = TimeUnit.SECONDS.toNanos(5);

    /** ms; so long a caller that has its answer may say nothing before the connection is closed on it. */
    private static final int LINGER_MS = 2_000;

    private static final int ACCEPT_TIMEOUT_MS = 250;
    private static final int ACCEPT_RETRY_MS = 5;

    private record Connection(Socket socket, long acceptedNs) {}

    private final ServerSocket listener = new ServerSocket();
    private final Set<Connection> connections = ConcurrentHashMap.newKeySet();
    private final Service service;
    private final Counters counters;
    private final WorkerPool workers;

    /** Listens on the address. */
    public AdminServer(InetSocketAddress listen, Service service, Counters counters, WorkerPool workers)
            throws IOException {
        this.service = service;
        this.counters = counters;
        this.workers = workers;
        listener.setReuseAddress(true);
        listener.bind(listen, BACKLOG);
        listener.setSoTimeout(ACCEPT_TIMEOUT_MS);
    }

    /** Starts to take calls. */
    public void start() {
        Actor.daemonThread("admin", this::accept).start();
    }

    /** Takes no further calls, and ends those in hand. */
    public void close() {
        try {
            listener.close();
        } catch (IOException e) {
            // It is closed all the same.
        }
        connections.forEach(connection -> close(connection.socket()));
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Connection connection = new Connection(listener.accept(), System.nanoTime());
                counters.add(Counter.DOOR_CALLS);
                evictUntilBelowLimit();
                connections.add(connection);
                workers.runReader(() -> serve(connection));
            } catch (SocketTimeoutException e) {
                // Time to look at the others.
            } catch (IOException e) {
                // Without descriptors accept fails at once, again and again.
                pause();
            }
            long now = System.nanoTime();
            connections.stream()
                    .filter(connection -> now - connection.acceptedNs() > REQUEST_TIMEOUT_NS)
                    .forEach(this::evict);
        }
    }

    private void evictUntilBelowLimit() {
        while (connections.size() >= MAX_CONNECTIONS) {
            Iterator<Connection> iterator = connections.iterator();
            if (!iterator.hasNext()) {
                return;
            }
            Connection oldest = iterator.next();
            while (iterator.hasNext()) {
                Connection next = iterator.next();
                oldest = next.acceptedNs() < oldest.acceptedNs() ? next : oldest;
            }
            evict(oldest);
        }
    }

    private void evict(Connection connection) {
        if (connections.remove(connection)) {
            counters.add(Counter.DOOR_TURNED_AWAY);
            close(connection.socket());
        }
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed all the same.
        }
    }

    private static void pause() {
        try {
            Thread.sleep(ACCEPT_RETRY_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void serve(Connection connection) {
        Socket socket = connection.socket();
        try (socket) {
            socket.setTcpNoDelay(true);
            HttpRequest.Response response;
            try {
                response = response(HttpRequest.read(socket.getInputStream()));
            } catch (HttpRequest.MalformedRequest e) {
                counters.add(Counter.DOOR_GARBAGE);
                response = e.response();
            }
            socket.getOutputStream().write(response.text().getBytes(StandardCharsets.ISO_8859_1));
            socket.shutdownOutput();
            socket.setSoTimeout(LINGER_MS);
            LingeringClose.drain(socket.getInputStream());
        } catch (IOException e) {
            // Gone, or closed to make room.
        } catch (RuntimeException e) {
            counters.add(Counter.FAULTS);
            System.err.println("admin: " + e + " at " + e.getStackTrace()[0]);
        } finally {
            connections.remove(connection);
        }
    }

    private HttpRequest.Response response(HttpRequest request) {
        boolean command =
                request.path().equals("/admin/quiesce") || request.path().equals("/admin/resume");
        if (!command
                && !request.path().equals("/admin/health")
                && !request.path().equals("/admin/stats")) {
            return new HttpRequest.Response(404, "Not Found", "no such call\n");
        }
        if (!request.method().equals(command ? "POST" : "GET")) {
            return new HttpRequest.Response(405, "Method Not Allowed", "it takes " + (command ? "POST" : "GET") + "\n");
        }
        switch (request.path()) {
            case "/admin/health" -> {
                return service.serving()
                        ? new HttpRequest.Response(200, "OK", "serving\n")
                        : new HttpRequest.Response(503, "Service Unavailable", "not serving yet\n");
            }
            case "/admin/stats" -> {
                return new HttpRequest.Response(200, "OK", service.stats());
            }
            case "/admin/quiesce" -> service.quiesce();
            default -> service.resume();
        }
        return new HttpRequest.Response(200, "OK", "done\n");
    }
}
