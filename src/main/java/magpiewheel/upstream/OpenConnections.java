package magpiewheel.upstream;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** The connections to endpoints that hold a socket, so that all can be closed at once. Thread-safe. */
final class OpenConnections {
    private static final String REASON = "process-ends";

    private final Set<UpstreamConnection> connections = ConcurrentHashMap.newKeySet();
    private volatile boolean closed;

    /** Adds a connection; one that comes after {@link #closeAll} is closed. */
    void add(UpstreamConnection connection) {
        connections.add(connection);
        if (closed) {
            connection.close(REASON);
        }
    }

    void remove(UpstreamConnection connection) {
        connections.remove(connection);
    }

    /** Closes every connection, and those that are added later. */
    void closeAll() {
        closed = true;
        connections.forEach(connection -> connection.close(REASON));
    }
}
