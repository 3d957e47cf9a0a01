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
import magpiewheel.engine.ListedEndpoint;
import magpiewheel.engine.WorkerPool;
import magpiewheel.routing.EndpointInfo;
import magpiewheel.routing.EndpointListMode;
import magpiewheel.routing.EndpointState;

/**
 * The actor of the list: it holds the number of the last event and passes on what is new. A reader keeps the connection
 * to the board; with a full mailbox it waits, and the board's changes with it.
 */
public final class DiscoveryClient extends Actor {
    private static final int MAILBOX_CAPACITY = 64;
    private static final int READ_BUFFER_BYTES = 4_096;
    private static final int RECORD_BYTES = 27;
    private static final int HEADER_BYTES = Long.BYTES + 1;
    private static final int MAX_FRAME_BYTES = 1 << 20;
    /**
     * ms; the longest from one whole frame to the next: an empty frame comes each second, so two missing ones mean a
     * connection that is dead. What discovery has to say counts as received 7 s after it was said; two connections in a
     * row that fall silent, or six connection attempts that hang, fit in.
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
     * Goes on behind the event of the given number, at no address (null) until one is named; {@code onConnectionLost}
     * is called, by the reader, while the board is away.
     */
    public DiscoveryClient(
            InetSocketAddress address, long lastRevision, Engine engine, Runnable onConnectionLost, Counters counters) {
        super("board", MAILBOX_CAPACITY, counters);
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
        daemonThread("board-reader", this::readLoop).start();
    }

    /** The board is to be found elsewhere from now on; the events go on behind the last one known. */
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
        // The reader must not go on with the old board, which tells nothing more and stays open for a while.
        closeQuietly(currentSocket);
    }

    /** From now on the module is told, too, whenever the board is heard. */
    public void reportContact() {
        reportsContact = true;
    }

    /** Listens no longer. */
    public void close() {
        stop();
        closeQuietly(currentSocket);
    }

    private static void closeQuietly(Socket socket) {
        if (socket != null) {
            try {
                socket.close();
            } catch (IOException e) {
                // It is closed all the same.
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
                    onConnectionLost.run();
                    waitBeforeRetry();
                }
            } catch (RuntimeException e) {
                // Without its reader the front would go on with a list that nobody renews.
                counters.add(Counter.FAULTS);
                System.err.println("board: " + e + " at " + e.getStackTrace()[0]);
                waitBeforeRetry();
            }
        }
    }

    /** Reads events from the board at this address until it is named no longer. */
    private void readEvents(Socket socket, InetSocketAddress from) throws IOException {
        // Looked at each time: it may have changed before this socket could be closed for it.
        if (!from.equals(address)) {
            return;
        }
        socket.setTcpNoDelay(true);
        socket.connect(from, CONNECT_TIMEOUT_MS);
        counters.add(Counter.BOARD_CONNECTS);
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
                // After a reconnect the board may repeat what is known here.
                if (revision > lastRevision) {
                    lastRevision = revision;
                    counters.add(Counter.BOARD_EVENTS);
                    event.run();
                }
            });
        }
        if (reportsContact) {
            // Behind the event, and behind all that came before it.
            putAndRun(() -> engine.discoveryHeard(receivedAtUs));
        }
    }

    private IOException malformedFrame() {
        counters.add(Counter.BOARD_GARBAGE);
        return new IOException("the board does not keep to the form");
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
