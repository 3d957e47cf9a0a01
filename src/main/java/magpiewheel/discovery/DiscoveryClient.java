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
    private static final int MAILBOX = 64;
    private static final int READ_BUFFER = 4_096;
    private static final int RECORD = 27;
    private static final int HEAD = Long.BYTES + 1;
    private static final int LARGEST_FRAME = 1 << 20;
    /**
     * ms; the longest from one whole frame to the next: an empty frame comes each second, so two missing ones mean a
     * connection that is dead. What discovery has to say counts as received 7 s after it was said; two connections in a
     * row that fall silent, or six connection attempts that hang, fit in.
     */
    private static final int SILENCE_MS = 2_300;

    private static final int CONNECT_MS = 600;
    private static final int AGAIN_MS = 100;
    private static final EndpointState[] STATES = {EndpointState.READY, EndpointState.DRAINING, EndpointState.REMOVED};

    private final Engine engine;
    private final Runnable lost;
    private final Counters counters;
    private volatile long last;
    private volatile boolean tells;
    private volatile InetSocketAddress address;
    private volatile Socket current;

    /**
     * Goes on behind the event of the given number, at no address (null) until one is named; {@code lost} is called, by
     * the reader, while the board is away.
     */
    public DiscoveryClient(InetSocketAddress address, long last, Engine engine, Runnable lost, Counters counters) {
        super("board", MAILBOX, counters);
        this.address = address;
        this.last = last;
        this.engine = engine;
        this.lost = lost;
        this.counters = counters;
    }

    @Override
    public void start(WorkerPool crew) {
        super.start(crew);
        if (address != null) {
            startReader();
        }
    }

    private void startReader() {
        daemonThread("board-reader", this::read).start();
    }

    /** The board is to be found elsewhere from now on; the events go on behind the last one known. */
    public void moved(InetSocketAddress to) {
        if (to == null || to.equals(address)) {
            return;
        }
        boolean first = address == null;
        address = to;
        if (first) {
            startReader();
            return;
        }
        // The reader must not go on with the old board, which tells nothing more and stays open for a while.
        close(current);
    }

    /** From now on the module is told, too, whenever the board is heard. */
    public void tellsWhenHeard() {
        tells = true;
    }

    /** Listens no longer. */
    public void end() {
        stop();
        close(current);
    }

    private static void close(Socket socket) {
        if (socket != null) {
            try {
                socket.close();
            } catch (IOException e) {
                // It is closed all the same.
            }
        }
    }

    private void read() {
        while (!stopped()) {
            InetSocketAddress from = address;
            try (Socket socket = new Socket()) {
                current = socket;
                follow(socket, from);
            } catch (IOException e) {
                if (!stopped() && from.equals(address)) {
                    lost.run();
                    pause();
                }
            } catch (RuntimeException e) {
                // Without its reader the front would go on with a list that nobody renews.
                counters.add(Counter.FAULTS);
                System.err.println("board: " + e + " at " + e.getStackTrace()[0]);
                pause();
            }
        }
    }

    /** Reads events from the board at this address until it is named no longer. */
    private void follow(Socket socket, InetSocketAddress from) throws IOException {
        // Looked at each time: it may have changed before this socket could be closed for it.
        if (!from.equals(address)) {
            return;
        }
        socket.setTcpNoDelay(true);
        socket.connect(from, CONNECT_MS);
        counters.add(Counter.BOARD_CONNECTS);
        new DataOutputStream(socket.getOutputStream()).writeLong(last);
        DeadlineInputStream arriving = new DeadlineInputStream(socket);
        DataInputStream in = new DataInputStream(new BufferedInputStream(arriving, READ_BUFFER));
        while (from.equals(address)) {
            arriving.within(SILENCE_MS);
            frame(in);
        }
    }

    private static void pause() {
        try {
            Thread.sleep(AGAIN_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void frame(DataInputStream in) throws IOException {
        int length = in.readInt();
        if (length < HEAD || length > LARGEST_FRAME) {
            throw garbage();
        }
        long number = in.readLong();
        int kind = in.readUnsignedByte();
        int rest = length - HEAD;
        boolean fits = switch (kind) {
            case 0 -> rest == 0;
            case 1, 2 -> rest % RECORD == 0;
            case 3 -> rest == 2 * Long.BYTES;
            case 4 -> rest == Short.BYTES + Long.BYTES;
            default -> false;
        };
        if (!fits) {
            throw garbage();
        }
        byte[] payload = new byte[rest];
        in.readFully(payload);
        long heardAt = engine.now();
        Runnable event = kind == 0 ? null : event(kind, ByteBuffer.wrap(payload));
        if (event != null) {
            putAndRun(() -> {
                // After a reconnect the board may repeat what is known here.
                if (number > last) {
                    last = number;
                    counters.add(Counter.BOARD_EVENTS);
                    event.run();
                }
            });
        }
        if (tells) {
            // Behind the event, and behind all that came before it.
            putAndRun(() -> engine.discoveryHeard(heardAt));
        }
    }

    private IOException garbage() {
        counters.add(Counter.BOARD_GARBAGE);
        return new IOException("the board does not keep to the form");
    }

    private Runnable event(int kind, ByteBuffer at) throws IOException {
        if (kind > 2) {
            Long object = kind == 3 ? at.getLong() : null;
            int group = kind == 3 ? 0 : Short.toUnsignedInt(at.getShort());
            long ms = at.getLong();
            return () -> engine.objectsPurged(object, group, ms);
        }
        List<ListedEndpoint> nodes = new ArrayList<>();
        while (at.hasRemaining()) {
            long id = Integer.toUnsignedLong(at.getInt());
            int ip = at.getInt();
            int port = Short.toUnsignedInt(at.getShort());
            int state = Byte.toUnsignedInt(at.get());
            int zone = Byte.toUnsignedInt(at.get());
            int hardware = Byte.toUnsignedInt(at.get());
            int cell = Short.toUnsignedInt(at.getShort());
            double weight = Integer.toUnsignedLong(at.getInt()) / 1000.0;
            long started = at.getLong();
            if (state >= STATES.length || started < 0 || started > Long.MAX_VALUE / 4_000) {
                throw garbage();
            }
            nodes.add(new ListedEndpoint(
                    EndpointInfo.builder(id, hardware, zone)
                            .startedUs(started * 1000)
                            .weight(weight)
                            .state(STATES[state])
                            .cell(cell)
                            .build(),
                    ip,
                    port));
        }
        return () -> engine.endpointsChanged(kind == 1 ? EndpointListMode.FULL : EndpointListMode.DELTA, nodes);
    }
}
