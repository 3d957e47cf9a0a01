package magpiewheel.engine;

import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The threads on which actors without a thread of their own run their turns. Under a limit of a fraction of a core
 * every thread costs CPU time, even an idle one: with a thread per client, waiting took most of that limit.
 *
 * <p>An actor may block, for instance while it reads a file. When all threads are blocked, the pool adds more.
 */
public final class WorkerPool {
    private static final int MIN_THREADS = 3;
    private static final int MAX_THREADS = 16;
    /** Threads that the pool may have beside those that it starts with. */
    public static final int MAX_SURPLUS_THREADS = MAX_THREADS - MIN_THREADS;

    private static final int STALL_CHECK_MS = 20;
    /**
     * Consecutive checks without a finished turn before a thread is added: if the whole process is throttled, more
     * threads do not help.
     */
    private static final int STALLED_CHECKS_TO_GROW = 3;
    /** Milliseconds after which an idle surplus thread ends. */
    private static final int THREAD_IDLE_MS = 300;
    /** Contains each actor at most once. */
    private final LinkedBlockingQueue<Actor> readyActors = new LinkedBlockingQueue<>();

    private final AtomicInteger threads = new AtomicInteger();
    private final AtomicLong turns = new AtomicLong();
    private final ScheduledThreadPoolExecutor timerExecutor =
            new ScheduledThreadPoolExecutor(1, body -> Actor.daemonThread("timers", body));
    /** Readers block for the lifetime of their connection; a thread that has finished serves the next connection. */
    private final ThreadPoolExecutor readers = new ThreadPoolExecutor(
            0,
            Integer.MAX_VALUE,
            THREAD_IDLE_MS,
            TimeUnit.MILLISECONDS,
            new SynchronousQueue<>(),
            body -> Actor.daemonThread("reader", body));

    private long turnsAtLastCheck;
    private int stalledChecks;

    /** Creates the pool and starts its initial threads. */
    public WorkerPool() {
        for (int i = 0; i < MIN_THREADS; i++) {
            addThread();
        }
        timerExecutor.scheduleWithFixedDelay(
                this::checkForStall, STALL_CHECK_MS, STALL_CHECK_MS, TimeUnit.MILLISECONDS);
    }

    /**
     * Runs the reader of a connection on a thread of its own; the number of threads is bounded by that of the
     * connections.
     */
    public void runReader(Runnable reader) {
        readers.execute(reader);
    }

    void schedule(Actor actor) {
        readyActors.add(actor);
    }

    /** Schedules a turn of the actor after a delay, whether it has a message or not. */
    void scheduleWakeUp(Actor actor, long afterUs) {
        timerExecutor.schedule(actor::onWakeUp, Math.max(0, afterUs), TimeUnit.MICROSECONDS);
    }

    /** Returns the number of worker threads, busy or idle. */
    public int threads() {
        return threads.get();
    }

    private void checkForStall() {
        long completedTurns = turns.get();
        stalledChecks = readyActors.isEmpty() || completedTurns != turnsAtLastCheck ? 0 : stalledChecks + 1;
        if (stalledChecks >= STALLED_CHECKS_TO_GROW && threads.get() < MAX_THREADS) {
            addThread();
        }
        turnsAtLastCheck = completedTurns;
    }

    private void addThread() {
        threads.incrementAndGet();
        Actor.daemonThread("worker", this::runTurns).start();
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
