package magpiewheel.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

class ActorTurnTest {
    private static final class Connection extends Actor {
        private final CountDownLatch writable = new CountDownLatch(1);
        private final CountDownLatch written = new CountDownLatch(1);
        private final AtomicInteger handled = new AtomicInteger();

        Connection(Counters counters) {
            super("connection", 8, counters);
        }

        /**
         * Does what a reader does with a frame; the response queued behind it blocks in a write until the peer reads.
         */
        void readFrameThenQueueWrite() {
            putAndRun(() -> {
                handled.incrementAndGet();
                offer(this::write);
            });
        }

        private void write() {
            try {
                writable.await();
                written.countDown();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /** A reader blocked in a write would not notice that its peer has gone or no longer waits. */
    @Test
    void readerHandlesOnlyItsOwnMessage() throws InterruptedException {
        Connection connection = new Connection(new Counters());
        connection.start(new WorkerPool());
        CountDownLatch readerContinued = new CountDownLatch(1);
        Thread reader = Actor.daemonThread("reader", () -> {
            connection.readFrameThenQueueWrite();
            readerContinued.countDown();
        });
        reader.start();
        assertTrue(readerContinued.await(10, TimeUnit.SECONDS), "the reader is blocked in a write");
        assertEquals(1, connection.handled.get());
        connection.writable.countDown();
        assertTrue(connection.written.await(10, TimeUnit.SECONDS));
    }
}
