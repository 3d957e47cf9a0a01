package magpiewheel.discovery;

import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;

/**
 * One connection to the discovery service: it asks for the events after a revision and reads frames until it fails, is
 * closed, or has been silent for {@link DiscoveryTimeouts#ABANDON_AFTER_MS}.
 */
final class DiscoveryConnection implements Runnable {
    /** Called on the connection's thread. */
    interface Listener {
        /** Returns the revision after which events are requested; called once, when the connection is up. */
        long connected(DiscoveryConnection connection);

        /** A whole frame arrived. */
        void frameReceived(DiscoveryConnection connection, DiscoveryFrame frame);

        /** No whole frame has arrived for {@link DiscoveryTimeouts#SUSPECT_AFTER_MS}; the connection stays open. */
        void suspected(DiscoveryConnection connection);

        /** The connection could not be opened, failed, or was closed; the last call. */
        void ended(DiscoveryConnection connection, Exception reason);
    }

    private static final int READ_BUFFER_BYTES = 4_096;

    private final InetSocketAddress address;
    private final Listener listener;
    private final Socket socket = new Socket();
    private FrameDelay delay;
    private volatile boolean suspect;

    /** Creates a connection that is opened by {@link #run}. */
    DiscoveryConnection(InetSocketAddress address, Listener listener) {
        this.address = address;
        this.listener = listener;
    }

    InetSocketAddress address() {
        return address;
    }

    /** Whether it has been silent for so long that another connection is opened beside it. */
    boolean isSuspect() {
        return suspect;
    }

    /** Returns how late frames arrive, us; only on the connection's thread, after the first frame. */
    long delayUs() {
        return delay.us();
    }

    @Override
    public void run() {
        try (socket) {
            socket.setTcpNoDelay(true);
            socket.connect(address, DiscoveryTimeouts.CONNECT_TIMEOUT_MS);
            new DataOutputStream(socket.getOutputStream()).writeLong(listener.connected(this));
            delay = new FrameDelay(System.nanoTime());
            readFrames();
        } catch (IOException | RuntimeException e) {
            listener.ended(this, e);
        }
    }

    private void readFrames() throws IOException {
        DeadlineInputStream input = new DeadlineInputStream(socket, this::becomeSuspect);
        DataInputStream in = new DataInputStream(new BufferedInputStream(input, READ_BUFFER_BYTES));
        while (true) {
            input.startMessage(DiscoveryTimeouts.SUSPECT_AFTER_MS, DiscoveryTimeouts.ABANDON_AFTER_MS);
            DiscoveryFrame frame = DiscoveryFrameReader.read(in);
            delay.frameReceived(frame, System.nanoTime());
            suspect = false;
            listener.frameReceived(this, frame);
        }
    }

    private void becomeSuspect() {
        suspect = true;
        listener.suspected(this);
    }

    /** Closes the connection from any thread; {@link Listener#ended} follows on its own. */
    void close() {
        try {
            socket.close();
        } catch (IOException e) {
            // The socket counts as closed even if closing it failed.
        }
    }
}
