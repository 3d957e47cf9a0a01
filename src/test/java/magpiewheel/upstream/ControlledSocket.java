package magpiewheel.upstream;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketAddress;
import java.net.SocketException;
import java.util.concurrent.CountDownLatch;

/** A real socket that connects, and returns from reads, only when the test allows it. */
final class ControlledSocket extends Socket {
    private final CountDownLatch connectAllowed = new CountDownLatch(1);
    private final CountDownLatch readsAllowed = new CountDownLatch(1);
    private final CountDownLatch readReturned = new CountDownLatch(1);
    private final CountDownLatch availableCalled = new CountDownLatch(1);
    private final CountDownLatch availableAllowed = new CountDownLatch(1);
    private volatile boolean holdsReads;
    private volatile boolean holdsAvailable;

    ControlledSocket(boolean holdsConnect) {
        if (!holdsConnect) {
            connectAllowed.countDown();
        }
    }

    /** From now on reads do not return to the reader until {@link #resumeReads}. */
    void holdReads() {
        holdsReads = true;
    }

    /** Waits until a held read has received data or failed. */
    void awaitRead() throws InterruptedException {
        readReturned.await();
    }

    /** From now on calls of {@code available} block until {@link #resumeAvailable}. */
    void holdAvailable() {
        holdsAvailable = true;
    }

    /** Waits until the reader calls {@code available}. */
    void awaitAvailable() throws InterruptedException {
        availableCalled.await();
    }

    /** Lets held calls of {@code available} return. */
    void resumeAvailable() {
        availableAllowed.countDown();
    }

    /** Lets the socket connect. */
    void allowConnect() {
        connectAllowed.countDown();
    }

    /** Lets held reads return. */
    void resumeReads() {
        readsAllowed.countDown();
    }

    @Override
    public void connect(SocketAddress address, int timeout) throws IOException {
        await(connectAllowed);
        super.connect(address, timeout);
    }

    @Override
    public InputStream getInputStream() throws IOException {
        return new FilterInputStream(super.getInputStream()) {
            @Override
            public int read(byte[] into, int from, int length) throws IOException {
                try {
                    return super.read(into, from, length);
                } finally {
                    if (holdsReads) {
                        readReturned.countDown();
                        await(readsAllowed);
                    }
                }
            }

            @Override
            public int available() throws IOException {
                if (holdsAvailable) {
                    availableCalled.countDown();
                    await(availableAllowed);
                }
                return super.available();
            }
        };
    }

    @Override
    public void close() throws IOException {
        super.close();
        connectAllowed.countDown();
    }

    private static void await(CountDownLatch latch) throws SocketException {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new SocketException("interrupted");
        }
    }
}
