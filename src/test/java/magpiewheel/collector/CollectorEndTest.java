package magpiewheel.collector;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** A collector that ends closes every session, also one that is let in at that moment. */
class CollectorEndTest {
    private static final int WAIT_S = 20;
    private static final int RESTARTS = 2_000;

    /** A listener that hands on what it let in only when it is told to. */
    private static final class HeldListener extends ServerSocket {
        private final CountDownLatch letIn = new CountDownLatch(1);
        private final CountDownLatch handOn = new CountDownLatch(1);

        HeldListener() throws IOException {}

        @Override
        public Socket accept() throws IOException {
            Socket socket = super.accept();
            letIn.countDown();
            try {
                handOn.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            return socket;
        }
    }

    /** A collector that came back at its address found it in use by the one that had been closed. */
    @Test
    void theAddressIsFreeOnceACollectorIsClosed() throws Exception {
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        for (int i = 0; i < RESTARTS; i++) {
            try (Collector collector = new Collector(address, 1, (from, message) -> {}, (from, why) -> {})) {
                address = collector.address();
            }
        }
    }

    @Test
    void aSessionThatIsLetInWhileTheCollectorEndsIsClosed() throws Exception {
        HeldListener listener = new HeldListener();
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        Collector collector = new Collector(any, 1, (from, message) -> {}, (from, why) -> {}, listener);
        try (Socket exporter = new Socket(any.getAddress(), collector.address().getPort())) {
            exporter.setSoTimeout((int) TimeUnit.SECONDS.toMillis(WAIT_S));
            assertTrue(listener.letIn.await(WAIT_S, TimeUnit.SECONDS));
            collector.close();
            listener.handOn.countDown();
            assertEquals(-1, exporter.getInputStream().read(), "the exporter sees the end");
        }
    }
}
