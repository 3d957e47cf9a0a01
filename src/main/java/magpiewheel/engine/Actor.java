package magpiewheel.engine;

import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/**
 * A bounded mailbox and state that one thread at a time touches: a thread of its own, or whichever hand of the crew has
 * its turn. Behind the mailbox's capacity lies a reserve for messages whose number is bounded by what was let in
 * before: a cancel for each attempt, an answer for each request. They keep their place in the order and find room.
 */
public abstract class Actor {
    private static final long STACK_BYTES = 192 * 1024;
    /** Messages worked off in one turn, so that a busy actor leaves the others theirs. */
    private static final int MAX_MESSAGES_PER_TURN = 32;
    /** us; an actor that has nothing to wait for looks around so often, on a thread of its own. */
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

    /** An actor without a reserve. */
    protected Actor(String name, int capacity, Counters counters) {
        this(name, capacity, 0, counters);
    }

    /** Makes the actor; {@link #start} sets it going. */
    protected Actor(String name, int capacity, int reserve, Counters counters) {
        this.name = name;
        this.capacity = capacity;
        this.reserve = reserve;
        this.counters = counters;
    }

    /** A daemon thread of the program's one kind. */
    public static Thread daemonThread(String name, Runnable body) {
        Thread thread = new Thread(null, body, name, STACK_BYTES);
        thread.setDaemon(true);
        return thread;
    }

    /** Starts to work the mailbox off, on a thread of its own. */
    public void start() {
        daemonThread(name, this::runLoop).start();
    }

    /** Starts to work the mailbox off in turns. */
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

    /** Leaves a message without waiting; false where the mailbox is full or the actor has ended. */
    protected final boolean offer(Runnable message) {
        return offer(message, capacity);
    }

    /** Likewise, with the reserve: only for messages whose number is bounded by others that were let in. */
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

    /** Leaves a message and waits for room: only for senders that the actor itself never waits for. */
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
     * Likewise, and takes the turn on the caller's own thread if nobody has it and nothing else waits: a reader that
     * has nothing else to do but to wait for more saves the change to another thread. It works off its own message
     * alone: others may wait in a write, and the reader would not hear its peer meanwhile.
     */
    protected final boolean putAndRun(Runnable message) {
        boolean runsHere;
        lock.lock();
        try {
            runsHere = workerPool != null && !scheduled && !stopped && mailbox.isEmpty();
            if (runsHere) {
                scheduled = true;
                mailbox.addLast(message);
            }
        } finally {
            lock.unlock();
        }
        if (runsHere) {
            runTurn(1);
        }
        return runsHere || put(message);
    }

    private void enqueue(Runnable message) {
        mailbox.addLast(message);
        scheduleTurn();
    }

    /** Asks for a turn; under the lock. */
    private void scheduleTurn() {
        notEmpty.signal();
        if (workerPool != null && !scheduled && !terminated) {
            scheduled = true;
            workerPool.schedule(this);
        }
    }

    /** Ends the actor after the message in hand; what is left in the mailbox is still worked off. */
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

    /** Likewise, and takes the last turn on the caller's thread if nobody has it. */
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

    /** Microseconds until {@link #runDueWork} wants to be called, be there messages or not; below 0 for never. */
    protected long untilDueWorkUs() {
        return -1;
    }

    /** Called between messages. */
    protected void runDueWork() {}

    /** Called once, on the actor's thread, when it has ended. */
    protected void onTerminated() {}

    /** The next message; null when the wait is over, or with nothing left. */
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

    /** Nothing from outside ends the program: a fault costs the message that met it. */
    private void runGuarded(Runnable work) {
        try {
            work.run();
        } catch (RuntimeException e) {
            counters.add(Counter.FAULTS);
            System.err.println(name + ": " + e + " at " + e.getStackTrace()[0]);
        }
    }

    private void runLoop() {
        try {
            boolean ending = false;
            for (Runnable message = null; !ending || message != null; ) {
                // Read before the mailbox: what was let in before the stop is there to be found.
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

    /** One turn, of a hand of the crew or of a reader; never two at once. */
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

    /** One alarm is out at most, but for one that would come too late. */
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
