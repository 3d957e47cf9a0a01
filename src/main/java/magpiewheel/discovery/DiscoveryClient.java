package magpiewheel.discovery;

import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import magpiewheel.engine.Actor;
import magpiewheel.engine.Counter;
import magpiewheel.engine.Counters;
import magpiewheel.engine.Engine;
import magpiewheel.engine.EventLog;
import magpiewheel.engine.ListedEndpoint;
import magpiewheel.engine.WorkerPool;
import magpiewheel.routing.EndpointInfo;
import magpiewheel.routing.EndpointListMode;
import magpiewheel.routing.EndpointState;

/**
 * The discovery client's actor: it holds the revision of the last event and passes newer events on to the engine. A
 * reader thread keeps the connection to the discovery service; while the mailbox is full, the reader waits and delivers
 * no further changes.
 */
public final class DiscoveryClient extends Actor {
    private static final int MAILBOX_CAPACITY = 64;
    private static final int READ_BUFFER_BYTES = 4_096;
    private static final int RECORD_BYTES = 27;
    private static final int HEADER_BYTES = Long.BYTES + 1;
    private static final int MAX_FRAME_BYTES = 1 << 20;
    /**
     * The longest time from one whole frame to the next. An empty frame is sent each second, so two missing frames mean
     * a dead connection. A message of discovery counts as received 7 s after it was sent; two consecutive connections
     * that stop sending, or six connection attempts that time out, fit into that time.
     */
    private static final int FRAME_TIMEOUT_MS = 2_300;

    private static final int CONNECT_TIMEOUT_MS = 600;
    private static final int RETRY_DELAY_MS = 100;
    private static final EndpointState[] STATE_BY_CODE = {
        EndpointState.READY, EndpointState.DRAINING, EndpointState.REMOVED
    };

    private final Engine engine;
    private final Runnable onConnectionLost;
    private final Counters counters;
    private volatile long lastRevision;
    private volatile boolean reportsContact;
    private volatile InetSocketAddress address;
    private volatile Socket currentSocket;

    /**
     * Resumes after the event with revision {@code lastRevision}. With a null address, connects only once one is set.
     * {@code onConnectionLost} is called on the reader thread after each failed connection or connection attempt,
     * unless the address has changed meanwhile.
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
            startReader();
        }
    }

    private void startReader() {
        daemonThread("discovery-reader", this::readLoop).start();
    }

    /** Sets the address of the discovery service; events resume after the last known one. Null is ignored. */
    public void setAddress(InetSocketAddress to) {
        if (to == null || to.equals(address)) {
            return;
        }
        boolean hadNoAddress = address == null;
        address = to;
        if (hadNoAddress) {
            startReader();
            return;
        }
        // The reader must not stay with the old server, which sends no more events but keeps its connections open for a
        // while.
        closeQuietly(currentSocket);
    }

    /** From now on reports each received frame to the engine, in addition to its event. */
    public void reportContact() {
        reportsContact = true;
    }

    /** Stops the actor and closes the connection. */
    public void close() {
        stop();
        closeQuietly(currentSocket);
    }

    private static void closeQuietly(Socket socket) {
        if (socket != null) {
            try {
                socket.close();
            } catch (IOException e) {
                // The socket counts as closed even if closing it failed.
            }
        }
    }

    private void readLoop() {
        while (!stopped()) {
            InetSocketAddress from = address;
            try (Socket socket = new Socket()) {
                currentSocket = socket;
                readEvents(socket, from);
            } catch (IOException e) {
                if (!stopped() && from.equals(address)) {
                    EventLog.log(
                            EventLog.Event.DISCOVERY, "lost " + from + " revision=" + lastRevision + " reason=" + e);
                    onConnectionLost.run();
                    waitBeforeRetry();
                }
            } catch (RuntimeException e) {
                // Without the reader the router would continue with an endpoint list that is never updated.
                counters.add(Counter.FAULTS);
                System.err.println("discovery-reader: " + e + " at " + e.getStackTrace()[0]);
                waitBeforeRetry();
            }
        }
    }

    /** Reads events from the discovery service at an address until another address is set. */
    private void readEvents(Socket socket, InetSocketAddress from) throws IOException {
        // Checked for each connection: the address may have changed before this socket could be closed because of it.
        if (!from.equals(address)) {
            return;
        }
        socket.setTcpNoDelay(true);
        socket.connect(from, CONNECT_TIMEOUT_MS);
        counters.add(Counter.BOARD_CONNECTS);
        EventLog.log(EventLog.Event.DISCOVERY, "connected " + from + " revision=" + lastRevision);
        new DataOutputStream(socket.getOutputStream()).writeLong(lastRevision);
        DeadlineInputStream input = new DeadlineInputStream(socket);
        DataInputStream in = new DataInputStream(new BufferedInputStream(input, READ_BUFFER_BYTES));
        while (from.equals(address)) {
            input.setDeadline(FRAME_TIMEOUT_MS);
            readFrame(in);
        }
    }

    private static void waitBeforeRetry() {
        try {
            Thread.sleep(RETRY_DELAY_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void readFrame(DataInputStream in) throws IOException {
        int length = in.readInt();
        if (length < HEADER_BYTES || length > MAX_FRAME_BYTES) {
            throw malformedFrame();
        }
        long revision = in.readLong();
        int kind = in.readUnsignedByte();
        int payloadLength = length - HEADER_BYTES;
        boolean validLength = switch (kind) {
            case 0 -> payloadLength == 0;
            case 1, 2 -> payloadLength % RECORD_BYTES == 0;
            case 3 -> payloadLength == 2 * Long.BYTES;
            case 4 -> payloadLength == Short.BYTES + Long.BYTES;
            default -> false;
        };
        if (!validLength) {
            throw malformedFrame();
        }
        byte[] payload = new byte[payloadLength];
        in.readFully(payload);
        long receivedAtUs = engine.now();
        Runnable event = kind == 0 ? null : parseEvent(kind, ByteBuffer.wrap(payload));
        if (event != null) {
            putAndRun(() -> {
                // After a reconnect the discovery service may repeat known events.
                if (revision > lastRevision) {
                    lastRevision = revision;
                    counters.add(Counter.BOARD_EVENTS);
                    event.run();
                }
            });
        }
        if (reportsContact) {
            // Queued after the event and all events before it.
            putAndRun(() -> engine.discoveryHeard(receivedAtUs));
        }
    }

    private IOException malformedFrame() {
        counters.add(Counter.BOARD_GARBAGE);
        return new IOException("malformed frame from the discovery service");
    }

    private Runnable parseEvent(int kind, ByteBuffer payload) throws IOException {
        if (kind > 2) {
            Long object = kind == 3 ? payload.getLong() : null;
            int group = kind == 3 ? 0 : Short.toUnsignedInt(payload.getShort());
            long ms = payload.getLong();
            return () -> engine.objectsPurged(object, group, ms);
        }
        List<ListedEndpoint> endpoints = new ArrayList<>();
        while (payload.hasRemaining()) {
            long id = Integer.toUnsignedLong(payload.getInt());
            int ip = payload.getInt();
            int port = Short.toUnsignedInt(payload.getShort());
            int state = Byte.toUnsignedInt(payload.get());
            int zone = Byte.toUnsignedInt(payload.get());
            int machineType = Byte.toUnsignedInt(payload.get());
            int cell = Short.toUnsignedInt(payload.getShort());
            double weight = Integer.toUnsignedLong(payload.getInt()) / 1000.0;
            long startedMs = payload.getLong();
            if (state >= STATE_BY_CODE.length || startedMs < 0 || startedMs > Long.MAX_VALUE / 4_000) {
                throw malformedFrame();
            }
            endpoints.add(new ListedEndpoint(
                    EndpointInfo.builder(id, machineType, zone)
                            .startedUs(startedMs * 1000)
                            .weight(weight)
                            .state(STATE_BY_CODE[state])
                            .cell(cell)
                            .build(),
                    ip,
                    port));
        }
        return () -> engine.endpointsChanged(kind == 1 ? EndpointListMode.FULL : EndpointListMode.DELTA, endpoints);
    }
}
