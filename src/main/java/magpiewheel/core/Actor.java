package magpiewheel.core;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;

/** A platform thread with a small stack, a bounded mailbox and state that nobody else touches. */
public abstract class Actor {
    private static final long STACK_BYTES = 192 * 1024;
    private static final Runnable STOP = () -> { };
    private final ArrayBlockingQueue<Runnable> mailbox;
    private final Counters counters;
    private final Thread thread;
    private volatile boolean stopped;

    /** Makes the actor; {@link #start} sets it going. */
    protected Actor(String name, int capacity, Counters counters) {
        this.mailbox = new ArrayBlockingQueue<>(capacity);
        this.counters = counters;
        this.thread = thread(name, this::loop);
    }

    /** A daemon thread of the program's one kind. */
    public static Thread thread(String name, Runnable body) {
        Thread thread = new Thread(null, body, name, STACK_BYTES);
        thread.setDaemon(true);
        return thread;
    }

    /** Starts to work the mailbox off. */
    public void start() {
        thread.start();
    }

    /** Leaves a message without waiting; false where the mailbox is full or the actor has ended. */
    protected final boolean offer(Runnable message) {
        if (stopped || !mailbox.offer(message)) {
            return false;
        }
        // It may have ended between the two: then nobody would ever find this message.
        return !stopped || !mailbox.remove(message);
    }

    /** Leaves a message and waits for room: only for senders that the actor itself never waits for. */
    protected final boolean put(Runnable message) {
        try {
            while (!stopped) {
                if (mailbox.offer(message, 1, TimeUnit.SECONDS)) {
                    return !stopped || !mailbox.remove(message);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        return false;
    }

    /** Ends the actor after the message in hand; what is left in the mailbox goes to {@link #left}. */
    protected final void stop() {
        stopped = true;
        mailbox.offer(STOP);
    }

    /** Whether {@link #stop} was called. */
    protected final boolean stopped() {
        return stopped;
    }

    /** Microseconds until {@link #due} wants to be called. */
    protected long idleUs() {
        return TimeUnit.SECONDS.toMicros(1);
    }

    /** Called between messages. */
    protected void due() { }

    /** Called once, on the actor's thread, when it has ended. */
    protected void left() { }

    private void loop() {
        while (!stopped) {
            try {
                Runnable message = mailbox.poll(Math.max(0, idleUs()), TimeUnit.MICROSECONDS);
                if (message != null) {
                    message.run();
                }
                due();
            } catch (InterruptedException e) {
                stopped = true;
            } catch (RuntimeException e) {
                // Nothing from outside ends the program: a fault costs the message that met it.
                counters.add(Counter.FAULTS);
                System.err.println(thread.getName() + ": " + e + " at " + e.getStackTrace()[0]);
            }
        }
        for (Runnable rest = mailbox.poll(); rest != null; rest = mailbox.poll()) {
            rest.run();
        }
        left();
    }
}
