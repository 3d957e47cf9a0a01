package magpiewheel.engine;

import java.util.PriorityQueue;

/**
 * The timers of the engine's actor, ordered by due time; timers due at the same time run in the order in which they
 * were set.
 */
final class Timers {
    /**
     * A timer. A cancelled one drops its action at once, as requests are usually answered long before their deadline.
     */
    static final class Timer implements Comparable<Timer> {
        private final long dueAtUs;
        private final long sequence;
        private Runnable action;

        private Timer(long dueAtUs, long sequence, Runnable action) {
            this.dueAtUs = dueAtUs;
            this.sequence = sequence;
            this.action = action;
        }

        /** Cancels the timer. */
        void cancel() {
            action = null;
        }

        @Override
        public int compareTo(Timer other) {
            return dueAtUs != other.dueAtUs
                    ? Long.compare(dueAtUs, other.dueAtUs)
                    : Long.compare(sequence, other.sequence);
        }
    }

    private final UnixClock clock;
    private final PriorityQueue<Timer> queue = new PriorityQueue<>();
    private long lastSequence;

    Timers(UnixClock clock) {
        this.clock = clock;
    }

    /** Schedules an action for a time in Unix microseconds. */
    Timer schedule(long dueAtUs, Runnable action) {
        Timer timer = new Timer(dueAtUs, ++lastSequence, action);
        queue.add(timer);
        return timer;
    }

    /** Schedules an action to run right after the current call of the routing policy, before all other timers. */
    void runNext(Runnable action) {
        schedule(0, action);
    }

    /** Returns the microseconds until the next timer is due; negative if there is none. */
    long untilDueUs() {
        Timer next = nextActive();
        return next == null ? -1 : Math.max(0, next.dueAtUs - clock.now());
    }

    /** Runs the timers that are due. */
    void runDue() {
        for (Timer next = nextActive(); next != null && next.dueAtUs <= clock.now(); next = nextActive()) {
            queue.poll().action.run();
        }
    }

    /** Returns the next timer that is not cancelled, or null. */
    private Timer nextActive() {
        while (!queue.isEmpty() && queue.peek().action == null) {
            queue.poll();
        }
        return queue.peek();
    }
}
