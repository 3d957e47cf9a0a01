package magpiewheel.discovery;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import magpiewheel.engine.Actor;
import magpiewheel.engine.Counter;
import magpiewheel.engine.Counters;
import magpiewheel.engine.Engine;
import magpiewheel.engine.EventLog;
import magpiewheel.engine.Pause;
import magpiewheel.engine.WorkerPool;

/**
 * The discovery client's actor: it holds the revision of the last event and passes newer events on to the engine. While
 * the mailbox is full, the connections' readers wait and deliver no further changes.
 *
 * <p>What discovery sends may be late by several seconds, so silence alone never ends a connection that may still
 * deliver: another one is opened beside it, after {@link DiscoveryTimeouts#SUSPECT_AFTER_MS} or when the address
 * changes. The first of them that is up to date, which its first empty frame shows, replaces the older ones.
 */
public final class DiscoveryClient extends Actor {
    private static final int MAILBOX_CAPACITY = 64;
    /**
     * Most connections at once. Four of them can be silent before the first is given up; the others are for addresses
     * that change meanwhile.
     */
    private static final int MAX_CONNECTIONS = 6;

    private final Engine engine;
    private final Runnable onConnectionLost;
    private final Counters counters;
    private final DiscoveryConnection.Listener connectionListener = new ConnectionListener();
    /** The open connections, in the order in which they were opened; also the lock of the choice between them. */
    private final List<DiscoveryConnection> connections = new ArrayList<>();

    private volatile long lastRevision;
    private volatile InetSocketAddress address;

    /**
     * Resumes after the event with revision {@code lastRevision}. With a null address, connects only once one is set.
     * {@code onConnectionLost} is called on a reader thread after each failed connection or connection attempt, and
     * when a connection falls silent, unless the address has changed meanwhile.
     */
    public DiscoveryClient(
            InetSocketAddress address, long lastRevision, Engine engine, Runnable onConnectionLost, Counters counters) {
        super("discovery", MAILBOX_CAPACITY, counters);
        this.address = address;
        this.lastRevision = lastRevision;
        this.engine = engine;
        this.onConnectionLost = onConnectionLost;
        this.counters = counters;
    }

    @Override
    public void start(WorkerPool workers) {
        super.start(workers);
        if (address != null) {
            engine.discoveryExpected();
            ensureConnection();
        }
    }

    /** Sets the address of the discovery service; events resume after the last known one. Null is ignored. */
    public void setAddress(InetSocketAddress to) {
        if (to == null) {
            return;
        }
        address = to;
        engine.discoveryExpected();
        ensureConnection();
    }

    /** Stops the actor and closes the connections. */
    public void close() {
        stop();
        synchronized (connections) {
            connections.forEach(DiscoveryConnection::close);
            connections.clear();
        }
    }

    /** Opens a connection unless the newest one leads to the current address and is not suspect. */
    private void ensureConnection() {
        DiscoveryConnection opened;
        synchronized (connections) {
            if (stopped() || isFollowed()) {
                return;
            }
            if (connections.size() == MAX_CONNECTIONS) {
                connections.remove(0).close();
            }
            opened = new DiscoveryConnection(address, connectionListener);
            connections.add(opened);
        }
        daemonThread("discovery-reader", opened).start();
    }

    private boolean isFollowed() {
        DiscoveryConnection newest = connections.isEmpty() ? null : connections.get(connections.size() - 1);
        return newest != null && !newest.isSuspect() && newest.address().equals(address);
    }

    /**
     * Closes the connections that one which is up to date makes superfluous: those opened before it, and those opened
     * to the same address because it was silent.
     */
    private void replaceOthers(DiscoveryConnection current) {
        synchronized (connections) {
            int position = connections.indexOf(current);
            if (position < 0 || connections.size() == 1) {
                return;
            }
            for (DiscoveryConnection other : List.copyOf(connections)) {
                boolean older = connections.indexOf(other) < connections.indexOf(current);
                if (older || other != current && other.address().equals(current.address())) {
                    connections.remove(other);
                    other.close();
                    log("replaced", other, "");
                }
            }
        }
    }

    private void log(String what, DiscoveryConnection connection, String more) {
        EventLog.log(EventLog.Event.DISCOVERY, what + " " + connection.address() + " revision=" + lastRevision + more);
    }

    /** Delivers what the connections read, and decides which of them stay open. */
    private final class ConnectionListener implements DiscoveryConnection.Listener {
        @Override
        public long connected(DiscoveryConnection connection) {
            counters.add(Counter.BOARD_CONNECTS);
            log("connected", connection, "");
            return lastRevision;
        }

        @Override
        public void frameReceived(DiscoveryConnection connection, DiscoveryFrame frame) {
            long receivedAtUs = engine.now();
            // Read here: the messages below may run on another thread.
            long delayUs = connection.delayUs();
            if (!frame.isEmpty()) {
                putAndRun(() -> deliver(frame));
            }
            // A service that was left for another address sends no new events, so its frames prove nothing.
            if (connection.address().equals(address)) {
                // Queued after the event and all events before it.
                putAndRun(() -> engine.discoveryHeard(receivedAtUs, delayUs));
            }
            if (frame.isEmpty()) {
                replaceOthers(connection);
            }
        }

        private void deliver(DiscoveryFrame frame) {
            // Each connection repeats the events that were known when it was opened.
            if (frame.revision() > lastRevision) {
                lastRevision = frame.revision();
                counters.add(Counter.BOARD_EVENTS);
                frame.event().accept(engine);
            }
        }

        @Override
        public void suspected(DiscoveryConnection connection) {
            log("silent", connection, " for_ms=" + DiscoveryTimeouts.SUSPECT_AFTER_MS);
            reportLost(connection);
            ensureConnection();
        }

        @Override
        public void ended(DiscoveryConnection connection, Exception reason) {
            boolean wasOpen;
            synchronized (connections) {
                wasOpen = connections.remove(connection);
            }
            if (!wasOpen || stopped()) {
                return;
            }
            log("lost", connection, " reason=" + reason);
            count(reason);
            reportLost(connection);
            Pause.ms(DiscoveryTimeouts.RETRY_DELAY_MS);
            ensureConnection();
        }

        private void count(Exception reason) {
            if (reason instanceof MalformedFrameException) {
                counters.add(Counter.BOARD_GARBAGE);
            } else if (reason instanceof RuntimeException) {
                counters.add(Counter.FAULTS);
            }
        }

        private void reportLost(DiscoveryConnection connection) {
            if (connection.address().equals(address)) {
                onConnectionLost.run();
            }
        }
    }
}
