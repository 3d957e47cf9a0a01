package magpiewheel.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Clock;
import java.time.Instant;
import java.time.ZoneOffset;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import magpiewheel.routing.RoutingPolicy;
import org.junit.jupiter.api.Test;

class CoreTest {
    private final Counters counters = new Counters();
    private final UnixClock clock = new UnixClock();
    /** A system's clock may be set back; the module's must not be. */
    @Test
    void clockNeverGoesBack() {
        ArrayDeque<Instant> times = new ArrayDeque<>(
                List.of(Instant.ofEpochSecond(50, 1_500), Instant.ofEpochSecond(40), Instant.ofEpochSecond(51)));
        UnixClock clock = new UnixClock(new Clock() {
            @Override
            public java.time.ZoneId getZone() {
                return ZoneOffset.UTC;
            }

            @Override
            public Clock withZone(java.time.ZoneId zone) {
                return this;
            }

            @Override
            public Instant instant() {
                return times.poll();
            }
        });
        assertEquals(List.of(50_000_001L, 50_000_001L, 51_000_000L), List.of(clock.now(), clock.now(), clock.now()));
    }

    /**
     * What pinned reads learn of the origin's clock is measured by one that runs evenly, wherever the system's is set.
     */
    @Test
    void monotonicClockIgnoresSystemClockChanges() {
        ArrayDeque<Instant> times = new ArrayDeque<>(List.of(Instant.ofEpochSecond(50), Instant.ofEpochSecond(40)));
        ArrayDeque<Long> nanos = new ArrayDeque<>(List.of(7L, 1_000_007L, 3_000_007L));
        UnixClock clock = UnixClock.monotonic(times::poll, nanos::poll);
        assertEquals(List.of(50_001_000L, 50_003_000L), List.of(clock.now(), clock.now()));
    }

    /** A body gets all its room or none: readers with a part each would wait for one another. */
    @Test
    void poolIsBoundedAndReusesReleasedBuffers() {
        Counters counters = new Counters();
        BufferPool pool = new BufferPool(4, counters);
        Body body = pool.acquire(3 * BufferPool.BUFFER_BYTES, 0);
        assertNull(pool.acquire(2 * BufferPool.BUFFER_BYTES, 1));
        assertEquals(1, counters.get(Counter.BUFFERS_OUT));
        body.retain();
        body.release();
        assertEquals(1, pool.available());
        body.release();
        assertEquals(4, pool.available());
        assertThrows(IllegalStateException.class, body::release);
        assertNotNull(pool.acquire(4 * BufferPool.BUFFER_BYTES, 0));
    }

    private static final class TestActor extends Actor {
        TestActor() {
            super("box", 1, new Counters());
        }

        boolean enqueue(Runnable message) {
            return offer(message);
        }

        void end() {
            stop();
        }
    }

    /** A full mailbox says so at once, and a fault costs only the message that met it. */
    @Test
    void mailboxIsBoundedAndActorSurvivesAFault() throws InterruptedException {
        TestActor actor = new TestActor();
        assertTrue(actor.enqueue(() -> {
            throw new IllegalStateException("on purpose");
        }));
        assertFalse(actor.enqueue(() -> {}));
        actor.start();
        CountDownLatch done = new CountDownLatch(1);
        while (!actor.enqueue(done::countDown)) {
            Thread.onSpinWait();
        }
        assertTrue(done.await(10, TimeUnit.SECONDS));
        actor.end();
        assertFalse(actor.enqueue(() -> {}));
    }

    /** Turns keep the order and never overlap; the reserve is there when the mailbox is full; the end comes once. */
    @Test
    void pooledActorKeepsOrderAndReserve() throws InterruptedException {
        WorkerPool pool = new WorkerPool();
        List<Integer> seen = new ArrayList<>();
        CountDownLatch terminated = new CountDownLatch(1);
        final class OrderedActor extends Actor {
            OrderedActor() {
                super("kept", 2, 1, new Counters());
            }

            boolean fill(int from) {
                return offer(() -> seen.add(from))
                        && offer(() -> seen.add(from + 1))
                        && !offer(() -> seen.add(-1))
                        && offerReserved(() -> seen.add(from + 2))
                        && !offerReserved(() -> seen.add(-1));
            }

            void enqueue(int value) {
                put(() -> seen.add(value));
            }

            void end() {
                stop();
            }

            @Override
            protected void onTerminated() {
                terminated.countDown();
            }
        }
        OrderedActor actor = new OrderedActor();
        assertTrue(actor.fill(0));
        actor.start(pool);
        for (int i = 3; i < 1_000; i++) {
            actor.enqueue(i);
        }
        actor.end();
        assertTrue(terminated.await(10, TimeUnit.SECONDS));
        assertEquals(java.util.stream.IntStream.range(0, 1_000).boxed().toList(), seen);
    }

    /** What comes while a reader works its message off may wait in a write; the reader goes back to its connection. */
    @Test
    void readerHandlesOnlyItsOwnMessage() throws InterruptedException {
        CountDownLatch release = new CountDownLatch(1);
        CountDownLatch done = new CountDownLatch(1);
        final class BlockingWriter extends Actor {
            BlockingWriter() {
                super("written", 4, new Counters());
            }

            void read() {
                putAndRun(() -> put(() -> {
                    try {
                        release.await();
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                    done.countDown();
                }));
            }
        }
        BlockingWriter actor = new BlockingWriter();
        actor.start(new WorkerPool());
        Thread reader = new Thread(actor::read);
        reader.setDaemon(true);
        reader.start();
        reader.join(TimeUnit.SECONDS.toMillis(10));
        assertFalse(reader.isAlive(), "the reader waits in what came behind its message");
        release.countDown();
        assertTrue(done.await(10, TimeUnit.SECONDS));
    }

    /** Hands that all wait for clients that take nothing must not keep the others' actors from their turns. */
    @Test
    void blockedThreadsAreReplaced() throws InterruptedException {
        WorkerPool pool = new WorkerPool();
        CountDownLatch release = new CountDownLatch(1);
        CountDownLatch served = new CountDownLatch(1);
        for (int i = 0; i < 10; i++) {
            TestActor blocked = new TestActor();
            blocked.start(pool);
            assertTrue(blocked.enqueue(() -> {
                try {
                    release.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }));
        }
        TestActor other = new TestActor();
        other.start(pool);
        assertTrue(other.enqueue(served::countDown));
        assertTrue(served.await(10, TimeUnit.SECONDS));
        assertTrue(pool.threads() > 10);
        release.countDown();
    }

    /** An actor with something to wait for gets its turn without a message. */
    @Test
    void pooledActorIsWokenForDueWork() throws InterruptedException {
        CountDownLatch dueCalls = new CountDownLatch(5);
        final class DueWorkActor extends Actor {
            DueWorkActor() {
                super("looks", 1, new Counters());
            }

            void begin() {
                start(new WorkerPool());
                put(() -> {});
            }

            @Override
            protected long untilDueWorkUs() {
                return 1_000;
            }

            @Override
            protected void runDueWork() {
                dueCalls.countDown();
            }
        }
        new DueWorkActor().begin();
        assertTrue(dueCalls.await(10, TimeUnit.SECONDS));
    }

    /** The promise of one final answer holds even where the module says nothing at all, or its node never ends. */
    @Test
    void requestIgnoredByThePolicyFailsOnceAfterItsDeadline() throws InterruptedException {
        // On a late machine a request may be taken past its deadline only: then the next one gets more time.
        for (long timeBudgetUs = 50_000; counters.get(Counter.OVERDUE) == 0; timeBudgetUs *= 10) {
            long now = clock.now();
            assertTrue(timeBudgetUs < 10_000_000, "the module was never asked");
            assertEquals(
                    List.of(PendingRequest.Response.failed()),
                    responsesWithSilentPolicy(now, now + timeBudgetUs, now + timeBudgetUs));
            assertTrue(clock.now() >= now + timeBudgetUs, "not before its deadline");
        }
        assertEquals(1, counters.get(Counter.OVERDUE));
    }

    /**
     * Where only the front's own end leaves no time, and nothing was sent, another front may serve it: refused, with a
     * pause.
     */
    @Test
    void requestIsRejectedIfTheRouterEndsBeforeTheClientDeadline() throws InterruptedException {
        long now = clock.now();
        long hour = TimeUnit.HOURS.toMicros(1);
        List<PendingRequest.Response> rejected = List.of(PendingRequest.Response.rejected(300_000));
        assertEquals(rejected, responsesWithSilentPolicy(now, now + hour, now - 1), "taken too late");
        assertEquals(rejected, responsesWithSilentPolicy(now, now + hour, now + 50_000), "taken, and then left");
        assertEquals(
                List.of(PendingRequest.Response.failed()),
                responsesWithSilentPolicy(now, now, now - 1),
                "nobody waits any more");
        assertEquals(2, counters.get(Counter.REFUSED));
    }

    /** What a request is answered, in the end, by an engine whose module does nothing. */
    private List<PendingRequest.Response> responsesWithSilentPolicy(long now, long clientDeadlineUs, long deadlineUs)
            throws InterruptedException {
        RoutingPolicy silent = EngineStubs.routingPolicy((method, arguments) -> null);
        Engine engine = new Engine(
                EngineStubs.settings(EngineStubs.idempotentReads()),
                actions -> silent,
                clock,
                counters,
                null,
                (to, message) -> {},
                ResponseCache.disabled());
        engine.start();
        List<PendingRequest.Response> responses = new ArrayList<>();
        CountDownLatch responded = new CountDownLatch(1);
        PendingRequest request = new PendingRequest(
                new PendingRequest.ClientRequest("1", 0, "v", 1, 0, 0, 0, 1, null, null, null),
                new PendingRequest.Responder() {
                    @Override
                    public void respond(PendingRequest pending, PendingRequest.Response response) {
                        responses.add(response);
                        responded.countDown();
                    }

                    @Override
                    public PendingRequest.ConnectionAddresses addresses() {
                        return null;
                    }
                },
                now,
                clientDeadlineUs,
                deadlineUs);
        engine.submit(request);
        assertTrue(responded.await(10, TimeUnit.SECONDS));
        engine.clientDisconnected(request);
        return responses;
    }
}
