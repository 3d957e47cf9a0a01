package magpiewheel.discovery;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.concurrent.TimeUnit;

/**
 * The input of a connection with one deadline for a whole message: a timeout for each read alone would never end a
 * message whose bytes come one by one.
 */
final class DeadlineInputStream extends InputStream {
    /** ms; bytes that have arrived are read past the deadline, too: a reader may have waited for the processor. */
    private static final int MIN_READ_TIMEOUT_MS = 1;

    private final Socket socket;
    private final InputStream in;
    private long deadlineNs;

    /** Reads from a connected socket; {@link #setDeadline} comes before the first read. */
    DeadlineInputStream(Socket socket) throws IOException {
        this.socket = socket;
        this.in = socket.getInputStream();
    }

    /** What is read from now on has to arrive within so many milliseconds, else a read times out. */
    void setDeadline(int ms) {
        deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ms);
    }

    @Override
    public int read() throws IOException {
        byte[] octet = new byte[1];
        return read(octet, 0, 1) < 0 ? -1 : Byte.toUnsignedInt(octet[0]);
    }

    @Override
    public int read(byte[] buffer, int offset, int length) throws IOException {
        long leftMs = TimeUnit.NANOSECONDS.toMillis(deadlineNs - System.nanoTime());
        socket.setSoTimeout((int) Math.max(MIN_READ_TIMEOUT_MS, leftMs));
        return in.read(buffer, offset, length);
    }

    @Override
    public int available() throws IOException {
        return in.available();
    }
}
