package magpiewheel.discovery;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.concurrent.TimeUnit;

/**
 * The input of a connection with one deadline for a whole message: with a timeout for each read alone, a message whose
 * bytes arrive one by one could take forever.
 */
final class DeadlineInputStream extends InputStream {
    /**
     * Bytes that have already arrived are read even after the deadline, as the reader may have been waiting for a CPU.
     */
    private static final int MIN_READ_TIMEOUT_MS = 1;

    private final Socket socket;
    private final InputStream in;
    private long deadlineNs;

    /** Reads from a connected socket; {@link #setDeadline} must be called before the first read. */
    DeadlineInputStream(Socket socket) throws IOException {
        this.socket = socket;
        this.in = socket.getInputStream();
    }

    /** Sets the deadline for all following reads to {@code ms} milliseconds from now; later reads time out. */
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
