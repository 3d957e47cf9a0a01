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
    /** The system clock may be set back; the time that the routing policy sees must not go back. */
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
     * Pinned reads measure the offset of the origin's clock, so they need a clock that a change of the system clock
     * does not shift.
     */
    @Test
    void monotonicClockIgnoresSystemClockChanges() {
        ArrayDeque<Instant> times = new ArrayDeque<>(List.of(Instant.ofEpochSecond(50), Instant.ofEpochSecond(40)));
        ArrayDeque<Long> nanos = new ArrayDeque<>(List.of(7L, 1_000_007L, 3_000_007L));
        UnixClock clock = UnixClock.monotonic(times::poll, nanos::poll);
        assertEquals(List.of(50_001_000L, 50_003_000L), List.of(clock.now(), clock.now()));
    }

    /** A body gets all of its buffers or none: readers that each held a part could deadlock. */
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
            super("test", 1, new Counters());
        }

        boolean enqueue(Runnable message) {
            return offer(message);
        }

        void end() {
            stop();
        }
    }

    /** A full mailbox refuses a message at once, and a fault affects only the message that triggered it. */
    @Test
    void mailboxIsBoundedAndActorSurvivesAFault() throws InterruptedException {
        TestActor actor = new TestActor();
        assertTrue(actor.enqueue(() -> {
            throw new IllegalStateException("deliberate fault");
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

    /**
     * Turns keep the order and never overlap, the reserve accepts messages when the mailbox is full, and the actor
     * terminates exactly once.
     */
    @Test
    void pooledActorKeepsOrderAndReserve() throws InterruptedException {
        WorkerPool pool = new WorkerPool();
        List<Integer> seen = new ArrayList<>();
        CountDownLatch terminated = new CountDownLatch(1);
        final class OrderedActor extends Actor {
            OrderedActor() {
                super("ordered", 2, 1, new Counters());
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

    /**
     * A message that arrives while a reader handles its own may block in a write; the reader must return to its
     * connection.
     */
    @Test
    void readerHandlesOnlyItsOwnMessage() throws InterruptedException {
        CountDownLatch release = new CountDownLatch(1);
        CountDownLatch done = new CountDownLatch(1);
        final class BlockingWriter extends Actor {
            BlockingWriter() {
                super("writer", 4, new Counters());
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
        assertFalse(reader.isAlive(), "the reader is blocked in a message queued after its own");
        release.countDown();
        assertTrue(done.await(10, TimeUnit.SECONDS));
    }

    /** If all threads are blocked by clients that do not read, other actors must still get their turns. */
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

    /** An actor with due work gets its turns without a message. */
    @Test
    void pooledActorIsWokenForDueWork() throws InterruptedException {
        CountDownLatch dueCalls = new CountDownLatch(5);
        final class DueWorkActor extends Actor {
            DueWorkActor() {
                super("due work", 1, new Counters());
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

    /** Each request gets exactly one final response, even if the routing policy never acts on it. */
    @Test
    void requestIgnoredByThePolicyFailsOnceAfterItsDeadline() throws InterruptedException {
        // On a slow machine the engine may receive the request only after its deadline; the next one then gets more
        // time.
        for (long timeBudgetUs = 50_000; counters.get(Counter.OVERDUE) == 0; timeBudgetUs *= 10) {
            long now = clock.now();
            assertTrue(timeBudgetUs < 10_000_000, "no request reached the routing policy before its deadline");
            assertEquals(
                    List.of(PendingRequest.Response.failed()),
                    responsesWithSilentPolicy(now, now + timeBudgetUs, now + timeBudgetUs));
            assertTrue(clock.now() >= now + timeBudgetUs, "failed before its deadline");
        }
        assertEquals(1, counters.get(Counter.OVERDUE));
    }

    /**
     * If time runs out only because the router shuts down, and nothing was sent, another router may serve the request:
     * it is rejected with a retry-after time.
     */
    @Test
    void requestIsRejectedIfTheRouterEndsBeforeTheClientDeadline() throws InterruptedException {
        long now = clock.now();
        long hour = TimeUnit.HOURS.toMicros(1);
        List<PendingRequest.Response> rejected = List.of(PendingRequest.Response.rejected(300_000));
        assertEquals(rejected, responsesWithSilentPolicy(now, now + hour, now - 1), "received after the deadline");
        assertEquals(
                rejected,
                responsesWithSilentPolicy(now, now + hour, now + 50_000),
                "received in time, never answered by the policy");
        assertEquals(
                List.of(PendingRequest.Response.failed()),
                responsesWithSilentPolicy(now, now, now - 1),
                "the client's deadline has passed");
        assertEquals(2, counters.get(Counter.REFUSED));
    }

    /** Returns the responses to a request from an engine whose routing policy does nothing. */
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
