package magpiewheel.nodes;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketAddress;
import java.net.SocketException;
import java.util.concurrent.CountDownLatch;

/** A real connection to a node that comes up, and is read from, only when its test lets it. */
final class HeldSocket extends Socket {
    private final CountDownLatch connects = new CountDownLatch(1);
    private final CountDownLatch reads = new CountDownLatch(1);

    HeldSocket(boolean holdsDial, boolean holdsReads) {
        if (!holdsDial) {
            connects.countDown();
        }
        if (!holdsReads) {
            reads.countDown();
        }
    }

    /** Lets the connection come up. */
    void comeUp() {
        connects.countDown();
    }

    /** Lets its reader read. */
    void readOn() {
        reads.countDown();
    }

    @Override
    public void connect(SocketAddress address, int timeout) throws IOException {
        await(connects);
        super.connect(address, timeout);
    }

    /** What has come, past the hold. */
    InputStream arrived() throws IOException {
        return super.getInputStream();
    }

    @Override
    public InputStream getInputStream() throws IOException {
        return new FilterInputStream(super.getInputStream()) {
            @Override
            public int read(byte[] into, int from, int length) throws IOException {
                await(reads);
                return super.read(into, from, length);
            }
        };
    }

    @Override
    public void close() throws IOException {
        super.close();
        connects.countDown();
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
