package magpiewheel.engine;

import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/**
 * An actor: a bounded mailbox, and state that only one thread at a time accesses. It runs either on a thread of its own
 * or in turns on the threads of a {@link WorkerPool}.
 *
 * <p>Beyond its capacity the mailbox has a reserve for messages whose number is bounded by messages accepted earlier,
 * such as one cancellation per attempt or one response per request. They stay in order and always find room.
 */
public abstract class Actor {
    private static final long STACK_BYTES = 192 * 1024;
    /** Messages handled in one turn, so that a busy actor does not starve the others. */
    private static final int MAX_MESSAGES_PER_TURN = 32;
    /**
     * Longest wait in microseconds between two calls of {@link #runDueWork}, for an actor on its own thread without due
     * work.
     */
    private static final long DEFAULT_WAIT_US = TimeUnit.SECONDS.toMicros(1);

    private final ArrayDeque<Runnable> mailbox = new ArrayDeque<>();
    private final ReentrantLock lock = new ReentrantLock();
    private final Condition notEmpty = lock.newCondition();
    private final Condition notFull = lock.newCondition();
    private final String name;
    private final int capacity;
    private final int reserve;
    private final Counters counters;
    private WorkerPool workerPool;
    private boolean scheduled;
    private boolean terminated;
    private long wakeUpAtNanos = Long.MAX_VALUE;
    private volatile boolean stopped;

    /** Creates an actor whose mailbox has no reserve. */
    protected Actor(String name, int capacity, Counters counters) {
        this(name, capacity, 0, counters);
    }

    /** Creates the actor; it handles no messages before {@link #start}. */
    protected Actor(String name, int capacity, int reserve, Counters counters) {
        this.name = name;
        this.capacity = capacity;
        this.reserve = reserve;
        this.counters = counters;
    }

    /** Returns a new daemon thread with the small stack that all threads of this program use. */
    public static Thread daemonThread(String name, Runnable body) {
        Thread thread = new Thread(null, body, name, STACK_BYTES);
        thread.setDaemon(true);
        return thread;
    }

    /** Starts handling messages on a thread of its own. */
    public void start() {
        daemonThread(name, this::runLoop).start();
    }

    /** Starts handling messages in turns on the threads of the pool. */
    public void start(WorkerPool pool) {
        lock.lock();
        try {
            workerPool = pool;
            if (!mailbox.isEmpty() || stopped) {
                scheduleTurn();
            }
        } finally {
            lock.unlock();
        }
    }

    /** Enqueues a message without blocking; returns false if the mailbox is full or the actor was stopped. */
    protected final boolean offer(Runnable message) {
        return offer(message, capacity);
    }

    /**
     * Like {@link #offer}, but may use the reserve; only for messages whose number is bounded by messages accepted
     * earlier.
     */
    protected final boolean offerReserved(Runnable message) {
        return offer(message, capacity + reserve);
    }

    private boolean offer(Runnable message, int limit) {
        lock.lock();
        try {
            if (stopped || mailbox.size() >= limit) {
                return false;
            }
            enqueue(message);
            return true;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Enqueues a message, blocking while the mailbox is full; returns false if the actor was stopped or the thread
     * interrupted. The actor itself must never wait for a thread that calls this.
     */
    protected final boolean put(Runnable message) {
        lock.lock();
        try {
            while (!stopped && mailbox.size() >= capacity) {
                notFull.await();
            }
            if (!stopped) {
                enqueue(message);
                return true;
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            lock.unlock();
        }
        return false;
    }

    /**
     * Like {@link #put}, but handles the message on the calling thread if no turn is scheduled or running and the
     * mailbox is empty. This saves a thread switch for a reader that would only wait for more input. It handles no
     * other message: one of them may block in a write, and meanwhile the reader would not notice what its peer sends.
     */
    protected final boolean putAndRun(Runnable message) {
        return runHere(message) || put(message);
    }

    /** Like {@link #putAndRun}, but returns false instead of blocking if the mailbox is full. */
    protected final boolean offerAndRun(Runnable message) {
        return runHere(message) || offer(message);
    }

    private boolean runHere(Runnable message) {
        lock.lock();
        try {
            if (workerPool == null || scheduled || stopped || !mailbox.isEmpty()) {
                return false;
            }
            scheduled = true;
            mailbox.addLast(message);
        } finally {
            lock.unlock();
        }
        runTurn(1);
        return true;
    }

    private void enqueue(Runnable message) {
        mailbox.addLast(message);
        scheduleTurn();
    }

    /** Wakes the actor's thread, or schedules a turn unless one is scheduled or running. Called with the lock held. */
    private void scheduleTurn() {
        notEmpty.signal();
        if (workerPool != null && !scheduled && !terminated) {
            scheduled = true;
            workerPool.schedule(this);
        }
    }

    /** Stops the actor: it accepts no more messages, and terminates once those in the mailbox are handled. */
    protected final void stop() {
        lock.lock();
        try {
            stopped = true;
            notEmpty.signalAll();
            notFull.signalAll();
            scheduleTurn();
        } finally {
            lock.unlock();
        }
    }

    /** Like {@link #stop}, but runs a turn on the calling thread if none is scheduled or running. */
    protected final void stopAndRun() {
        boolean runsHere;
        lock.lock();
        try {
            runsHere = workerPool != null && !scheduled && !terminated;
            scheduled |= runsHere;
            stopped = true;
            notFull.signalAll();
        } finally {
            lock.unlock();
        }
        if (runsHere) {
            runTurn();
        } else {
            stop();
        }
    }

    /** Whether {@link #stop} was called. */
    protected final boolean stopped() {
        return stopped;
    }

    /** Returns the microseconds until {@link #runDueWork} is to be called even without messages; negative for never. */
    protected long untilDueWorkUs() {
        return -1;
    }

    /**
     * Called on the actor's thread between messages: after each one on a thread of its own, after each turn in a pool.
     */
    protected void runDueWork() {}

    /** Called once on the actor's thread, after the last message was handled. */
    protected void onTerminated() {}

    /**
     * Removes and returns the next message; null if none arrives within the wait, or if the actor was stopped and the
     * mailbox is empty.
     */
    private Runnable takeNext(long waitUs) throws InterruptedException {
        long remainingNanos = TimeUnit.MICROSECONDS.toNanos(waitUs);
        lock.lock();
        try {
            while (mailbox.isEmpty() && !stopped && remainingNanos > 0) {
                remainingNanos = notEmpty.awaitNanos(remainingNanos);
            }
            Runnable message = mailbox.pollFirst();
            if (message != null && mailbox.size() < capacity) {
                notFull.signal();
            }
            return message;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Runs the work and counts and logs a runtime exception: input from outside must not end the program, so a fault
     * affects only the message that triggered it.
     */
    private void runGuarded(Runnable work) {
        try {
            work.run();
        } catch (RuntimeException e) {
            counters.add(Counter.FAULTS);
            System.err.println("fault in actor " + name + ": " + e + " at " + e.getStackTrace()[0]);
        }
    }

    private void runLoop() {
        try {
            boolean ending = false;
            for (Runnable message = null; !ending || message != null; ) {
                // Read before the mailbox: messages accepted before the stop are then still found in it.
                ending = stopped;
                long untilDueUs = ending ? 0 : untilDueWorkUs();
                message = takeNext(untilDueUs < 0 ? DEFAULT_WAIT_US : untilDueUs);
                if (message != null) {
                    runGuarded(message);
                }
                if (!ending) {
                    runGuarded(this::runDueWork);
                }
            }
        } catch (InterruptedException e) {
            stop();
        }
        runGuarded(this::onTerminated);
    }

    /** Runs one turn, on a pool thread or on that of a reader; two turns never run at once. */
    final void runTurn() {
        runTurn(MAX_MESSAGES_PER_TURN);
    }

    private void runTurn(int limit) {
        try {
            for (int i = 0; i < limit; i++) {
                Runnable message = takeNext(0);
                if (message == null) {
                    break;
                }
                runGuarded(message);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (!stopped) {
            runGuarded(this::runDueWork);
        }
        long untilDueUs = stopped ? -1 : untilDueWorkUs();
        boolean last;
        lock.lock();
        try {
            scheduled = false;
            last = stopped && mailbox.isEmpty() && !terminated;
            terminated |= last;
            if (!mailbox.isEmpty()) {
                scheduleTurn();
            } else if (untilDueUs >= 0 && !stopped) {
                scheduleWakeUp(System.nanoTime() + untilDueUs * 1_000, untilDueUs);
            }
        } finally {
            lock.unlock();
        }
        if (last) {
            runGuarded(this::onTerminated);
        }
    }

    /**
     * Schedules a wake-up at a time of {@link System#nanoTime}, unless one is pending that is not later. Called with
     * the lock held.
     */
    private void scheduleWakeUp(long atNanos, long afterUs) {
        if (wakeUpAtNanos == Long.MAX_VALUE || atNanos < wakeUpAtNanos) {
            wakeUpAtNanos = atNanos;
            workerPool.scheduleWakeUp(this, afterUs);
        }
    }

    final void onWakeUp() {
        lock.lock();
        try {
            wakeUpAtNanos = Long.MAX_VALUE;
            if (!stopped) {
                scheduleTurn();
            }
        } finally {
            lock.unlock();
        }
    }
}
