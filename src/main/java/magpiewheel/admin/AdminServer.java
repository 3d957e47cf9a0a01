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
import magpiewheel.engine.Pause;
import magpiewheel.engine.WorkerPool;

/**
 * The admin server: HTTP/1.1 at a separate address, one request per connection. A request uses no state outside its
 * connection, so the connection's reader thread serves it. Nothing here waits for an actor, so that a router under load
 * still responds. The number of connections is limited; at the limit, the oldest open connection is closed for a new
 * one.
 */
public final class AdminServer {
    /** The operations that operators can request of the router. No method may block. */
    public interface Service {
        /** Whether this process is ready to serve clients. */
        boolean serving();

        /** Returns the metrics, one per line. */
        String stats();

        /** Reports this router as down to clients and closes each connection once no request is open on it. */
        void quiesce();

        /** Resumes taking clients. */
        void resume();
    }

    private static final int MAX_CONNECTIONS = 12;
    private static final int BACKLOG = 64;
    /** A connection that is still open this long after it was accepted is closed. */
    private static final long REQUEST_TIMEOUT_NS = TimeUnit.SECONDS.toNanos(5);

    /** How long a client may stay silent after its response before the connection is closed. */
    private static final int LINGER_MS = 2_000;

    /** How long accept blocks at most, so that timed-out connections are closed without a new one. */
    private static final int ACCEPT_TIMEOUT_MS = 250;
    /** Pause after a failed accept. */
    private static final int ACCEPT_RETRY_MS = 5;

    private record Connection(Socket socket, long acceptedNs) {}

    private final ServerSocket listener = new ServerSocket();
    private final Set<Connection> connections = ConcurrentHashMap.newKeySet();
    private final Service service;
    private final Counters counters;
    private final WorkerPool workers;

    /** Binds the listening socket; connections are accepted after {@link #start}. */
    public AdminServer(InetSocketAddress listen, Service service, Counters counters, WorkerPool workers)
            throws IOException {
        this.service = service;
        this.counters = counters;
        this.workers = workers;
        listener.setReuseAddress(true);
        listener.bind(listen, BACKLOG);
        listener.setSoTimeout(ACCEPT_TIMEOUT_MS);
    }

    /** Starts accepting connections, on a thread of its own. */
    public void start() {
        Actor.daemonThread("admin", this::accept).start();
    }

    /** Stops accepting connections and closes the open ones. */
    public void close() {
        try {
            listener.close();
        } catch (IOException e) {
            // The socket is closed even if close() fails.
        }
        connections.forEach(connection -> close(connection.socket()));
    }

    /** Returns the address that the server listens on. */
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
                // No new connection; check the open ones for timeouts below.
            } catch (IOException e) {
                // Without free file descriptors accept fails immediately each time; the pause avoids a busy loop.
                Pause.ms(ACCEPT_RETRY_MS);
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
            // The socket is closed even if close() fails.
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
            // The client disconnected, or the connection was closed by a timeout or at the connection limit.
        } catch (RuntimeException e) {
            counters.add(Counter.FAULTS);
            System.err.println("admin: request failed: " + e + " at " + e.getStackTrace()[0]);
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
