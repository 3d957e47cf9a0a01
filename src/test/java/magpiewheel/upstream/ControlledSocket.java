package magpiewheel.upstream;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketAddress;
import java.net.SocketException;
import java.util.concurrent.CountDownLatch;

/** A real connection to a node that comes up, and is read from, only when its test lets it. */
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

    /** From now on its reader learns of nothing that its reads return, until it is let. */
    void holdReads() {
        holdsReads = true;
    }

    /** Waits until a read has returned something, or failed, that its reader does not know of yet. */
    void awaitRead() throws InterruptedException {
        readReturned.await();
    }

    /** From now on its reader learns of nothing that waits behind what it has read, until it is let. */
    void holdAvailable() {
        holdsAvailable = true;
    }

    /** Waits until its reader looks for what waits. */
    void awaitAvailable() throws InterruptedException {
        availableCalled.await();
    }

    /** Lets its reader know what waits. */
    void resumeAvailable() {
        availableAllowed.countDown();
    }

    /** Lets the connection come up. */
    void allowConnect() {
        connectAllowed.countDown();
    }

    /** Lets its reader read. */
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
