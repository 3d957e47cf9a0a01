package magpiewheel.resp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;
import magpiewheel.engine.BufferPool;
import magpiewheel.engine.Counters;
import magpiewheel.engine.ResponseListener;
import magpiewheel.engine.ServiceStats;
import magpiewheel.engine.UnixClock;
import magpiewheel.engine.WorkerPool;
import org.junit.jupiter.api.Test;

class RespServerTest {
    private static final int WAIT_MS = 60_000;
    private final Counters counters = new Counters();
    private final RespServer front = new RespServer(
            8,
            FairShare.UNLIMITED,
            null,
            new BufferPool(8, counters),
            counters,
            new UnixClock(),
            List.of("video"),
            List.of(1_000_000L),
            () -> true,
            new WorkerPool(),
            new ClientPoller(counters),
            new ServiceStats(List.of("video"), counters),
            ResponseListener.NONE,
            false);

    /** A listener that is slow: it lets nobody in until the front has been told to end and somebody waits. */
    private static final class SlowListeningSocket extends ListeningSocket {
        private final ServerSocketChannel listener = ServerSocketChannel.open();
        private final Selector arrivals = Selector.open();
        private final CountDownLatch accepting = new CountDownLatch(1);
        private final CountDownLatch ended = new CountDownLatch(1);
        private boolean late;

        SlowListeningSocket() throws IOException {
            listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            listener.configureBlocking(false);
            listener.register(arrivals, SelectionKey.OP_ACCEPT);
        }

        @Override
        public InetSocketAddress address() {
            return (InetSocketAddress) listener.socket().getLocalSocketAddress();
        }

        @Override
        SocketChannel accept(int waitMs) throws IOException {
            if (!late) {
                late = true;
                accepting.countDown();
                awaitTheEnd();
                arrivals.select(WAIT_MS);
                throw new SocketTimeoutException();
            }
            SocketChannel client = listener.accept();
            if (client == null) {
                throw new SocketTimeoutException();
            }
            return client;
        }

        private void awaitTheEnd() throws IOException {
            try {
                ended.await(WAIT_MS, TimeUnit.MILLISECONDS);
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
        }

        @Override
        void close() throws IOException {
            listener.close();
        }

        @Override
        public boolean isShared() {
            return false;
        }
    }

    /** The machine accepted it: closed with the listener, its connection would be reset, and its request lost. */
    @Test
    void aConnectionInTheListenQueueAtShutdownIsServed() throws Exception {
        SlowListeningSocket entrance = new SlowListeningSocket();
        front.start(entrance);
        try (Socket client = new Socket()) {
            client.connect(entrance.address());
            client.setSoTimeout(WAIT_MS);
            client.getOutputStream().write("*2\r\n$6\r\nSTATUS\r\n$1\r\n7\r\n".getBytes(StandardCharsets.ISO_8859_1));
            assertTrue(entrance.accepting.await(WAIT_MS, TimeUnit.MILLISECONDS), "the server has not begun to accept");
            front.close();
            entrance.ended.countDown();
            String answer = "*4\r\n$1\r\n7\r\n$4\r\nDOWN\r\n$0\r\n\r\n$0\r\n\r\n";
            assertEquals(
                    answer,
                    new String(client.getInputStream().readNBytes(answer.length()), StandardCharsets.ISO_8859_1));
            assertEquals(-1, client.getInputStream().read(), "and leave is taken of it");
        }
    }

    /** A listener at which the next client always waits already. */
    private static final class CrowdedListeningSocket extends ListeningSocket {
        private final ServerSocketChannel listener =
                ServerSocketChannel.open().bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        private final CountDownLatch closed = new CountDownLatch(1);

        CrowdedListeningSocket() throws IOException {}

        @Override
        public InetSocketAddress address() {
            return (InetSocketAddress) listener.socket().getLocalSocketAddress();
        }

        @Override
        SocketChannel accept(int waitMs) throws IOException {
            try (Socket client = new Socket()) {
                client.connect(address());
                return listener.accept();
            }
        }

        @Override
        void close() throws IOException {
            listener.close();
            closed.countDown();
        }

        @Override
        public boolean isShared() {
            return false;
        }
    }

    /** A crowd that connected again and again kept the listener open until the process was killed. */
    @Test
    void aCrowdDoesNotKeepTheListenerOpenAtShutdown() throws Exception {
        CrowdedListeningSocket entrance = new CrowdedListeningSocket();
        front.start(entrance);
        front.close();
        assertTrue(entrance.closed.await(5, TimeUnit.SECONDS), "it still accepts");
    }

    /** SIGTERM may come before the front has opened its entrance: then nobody is owed anything. */
    @Test
    void aServerClosedBeforeItStartedIsNotBusy() {
        front.beginShutdown();
        front.close();
        assertFalse(front.isShared());
        assertEquals(0, front.inFlight());
        assertFalse(front.hasClients());
    }

    /**
     * The wait of one new connection for a place took most of the time of those behind it, where deadlines are short.
     */
    @Test
    void theWaitForAPlaceFollowsFromTheShortestDeadline() {
        assertEquals(300, RespServer.roomWaitMs(List.of(3_000_000L, 1_200_000L)));
        assertEquals(125, RespServer.roomWaitMs(List.of(500_000L, 3_000_000L)));
        assertEquals(300, RespServer.roomWaitMs(List.of()));
    }

    /** Ranks that changed while connections were sorted ended the thread that accepts: nobody was let in any more. */
    @Test
    void connectionsWhoseRanksChangeMeanwhileAreSortedByOneReading() {
        AtomicLong readings = new AtomicLong();
        List<Integer> items = IntStream.range(0, 1_000).boxed().toList();
        Random random = new Random(1);
        List<Integer> sorted = RespServer.byDescendingRank(items, item -> {
            readings.incrementAndGet();
            return random.nextLong();
        });
        assertEquals(items.size(), readings.get(), "each rank is read once");
        assertEquals(Set.copyOf(items), Set.copyOf(sorted));
        assertEquals(List.of(3, 2, 1), RespServer.byDescendingRank(List.of(1, 3, 2), Integer::longValue));
    }
}
