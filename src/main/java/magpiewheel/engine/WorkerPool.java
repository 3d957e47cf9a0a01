package magpiewheel.engine;

import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The threads that actors without one of their own take turns on. Where a machine holds a program to part of a core,
 * every thread costs, also one that only waits: with one for each client the waiting took most of that part.
 *
 * <p>An actor may wait while it writes to a client that takes nothing. When all hands do so, others are hired.
 */
public final class WorkerPool {
    private static final int MIN_THREADS = 3;
    private static final int MAX_THREADS = 64;
    private static final int STALL_CHECK_MS = 20;
    /** Looks without any turn before a hand is hired: a program that is held back as a whole is not short of hands. */
    private static final int STALLED_CHECKS_TO_GROW = 3;
    /** ms; a thread that nobody needs for so long ends. */
    private static final int THREAD_IDLE_MS = 300;
    /** Each actor stands in it once at most. */
    private final LinkedBlockingQueue<Actor> readyActors = new LinkedBlockingQueue<>();

    private final AtomicInteger threads = new AtomicInteger();
    private final AtomicLong turns = new AtomicLong();
    private final ScheduledThreadPoolExecutor timerExecutor =
            new ScheduledThreadPoolExecutor(1, body -> Actor.daemonThread("alarms", body));
    /** Readers block for as long as their connection lives; a thread that is done takes the next connection. */
    private final ThreadPoolExecutor readers = new ThreadPoolExecutor(
            0,
            Integer.MAX_VALUE,
            THREAD_IDLE_MS,
            TimeUnit.MILLISECONDS,
            new SynchronousQueue<>(),
            body -> Actor.daemonThread("reader", body));

    private long turnsAtLastCheck;
    private int stalledChecks;

    /** Hires the first hands. */
    public WorkerPool() {
        for (int i = 0; i < MIN_THREADS; i++) {
            addThread();
        }
        timerExecutor.scheduleWithFixedDelay(
                this::checkForStall, STALL_CHECK_MS, STALL_CHECK_MS, TimeUnit.MILLISECONDS);
    }

    /** Runs the reader of a connection, on a thread that it has for itself. Connections bound their number. */
    public void runReader(Runnable reader) {
        readers.execute(reader);
    }

    void schedule(Actor actor) {
        readyActors.add(actor);
    }

    /** Gives the actor a turn after some time, whether it has a message or not. */
    void scheduleWakeUp(Actor actor, long afterUs) {
        timerExecutor.schedule(actor::onWakeUp, Math.max(0, afterUs), TimeUnit.MICROSECONDS);
    }

    /** Threads at work or waiting for it. */
    public int threads() {
        return threads.get();
    }

    private void checkForStall() {
        long now = turns.get();
        stalledChecks = readyActors.isEmpty() || now != turnsAtLastCheck ? 0 : stalledChecks + 1;
        if (stalledChecks >= STALLED_CHECKS_TO_GROW && threads.get() < MAX_THREADS) {
            addThread();
        }
        turnsAtLastCheck = now;
    }

    private void addThread() {
        threads.incrementAndGet();
        Actor.daemonThread("hand", this::runTurns).start();
    }

    private void runTurns() {
        try {
            while (true) {
                Actor next = threads.get() > MIN_THREADS
                        ? readyActors.poll(THREAD_IDLE_MS, TimeUnit.MILLISECONDS)
                        : readyActors.take();
                if (next == null) {
                    break;
                }
                next.runTurn();
                turns.incrementAndGet();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            threads.decrementAndGet();
        }
    }
}
