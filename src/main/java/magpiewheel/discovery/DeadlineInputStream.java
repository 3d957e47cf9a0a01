package magpiewheel.discovery;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.concurrent.TimeUnit;

/**
 * The input of a connection with two deadlines for a whole message: with a timeout for each read alone, a message whose
 * bytes arrive one by one could take forever. After the first deadline a listener is called and reading goes on; after
 * the second, reads time out.
 */
final class DeadlineInputStream extends InputStream {
    /**
     * Bytes that have already arrived are read even after a deadline, as the reader may have been waiting for a CPU.
     */
    private static final int MIN_READ_TIMEOUT_MS = 1;

    private final Socket socket;
    private final InputStream in;
    private final Runnable onFirstDeadline;
    private long firstDeadlineNs;
    private long lastDeadlineNs;
    private boolean firstDeadlinePassed;

    /** Reads from a connected socket; {@link #startMessage} must be called before the first read. */
    DeadlineInputStream(Socket socket, Runnable onFirstDeadline) throws IOException {
        this.socket = socket;
        this.in = socket.getInputStream();
        this.onFirstDeadline = onFirstDeadline;
    }

    /** Sets both deadlines for all following reads, in milliseconds from now. */
    void startMessage(int firstDeadlineMs, int lastDeadlineMs) {
        long now = System.nanoTime();
        firstDeadlineNs = now + TimeUnit.MILLISECONDS.toNanos(firstDeadlineMs);
        lastDeadlineNs = now + TimeUnit.MILLISECONDS.toNanos(lastDeadlineMs);
        firstDeadlinePassed = false;
    }

    @Override
    public int read() throws IOException {
        byte[] octet = new byte[1];
        return read(octet, 0, 1) < 0 ? -1 : Byte.toUnsignedInt(octet[0]);
    }

    @Override
    public int read(byte[] buffer, int offset, int length) throws IOException {
        if (!firstDeadlinePassed) {
            try {
                return readUntil(firstDeadlineNs, buffer, offset, length);
            } catch (SocketTimeoutException e) {
                firstDeadlinePassed = true;
                onFirstDeadline.run();
            }
        }
        return readUntil(lastDeadlineNs, buffer, offset, length);
    }

    private int readUntil(long deadlineNs, byte[] buffer, int offset, int length) throws IOException {
        long leftMs = TimeUnit.NANOSECONDS.toMillis(deadlineNs - System.nanoTime());
        socket.setSoTimeout((int) Math.max(MIN_READ_TIMEOUT_MS, leftMs));
        return in.read(buffer, offset, length);
    }

    @Override
    public int available() throws IOException {
        return in.available();
    }
}
