package magpiewheel.engine;

import java.util.PriorityQueue;

/** What the module's actor is to do at a time, in order; those for the same time in the order they were set. */
final class Timers {
    /** One that is cancelled lets go of its action at once: requests are answered long before their deadline. */
    static final class Timer implements Comparable<Timer> {
        private final long dueAtUs;
        private final long sequence;
        private Runnable action;

        private Timer(long dueAtUs, long sequence, Runnable action) {
            this.dueAtUs = dueAtUs;
            this.sequence = sequence;
            this.action = action;
        }

        /** It does nothing any more. */
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

    /** Does something at a time. */
    Timer schedule(long dueAtUs, Runnable action) {
        Timer timer = new Timer(dueAtUs, ++lastSequence, action);
        queue.add(timer);
        return timer;
    }

    /** Does something as soon as the call of the module in hand is over, before anything else. */
    void runNext(Runnable action) {
        schedule(0, action);
    }

    /** Microseconds until something is due; below 0 if nothing ever is. */
    long untilDueUs() {
        Timer next = nextActive();
        return next == null ? -1 : Math.max(0, next.dueAtUs - clock.now());
    }

    /** Does what is due. */
    void runDue() {
        for (Timer next = nextActive(); next != null && next.dueAtUs <= clock.now(); next = nextActive()) {
            queue.poll().action.run();
        }
    }

    /** The next one that still has something to do. */
    private Timer nextActive() {
        while (!queue.isEmpty() && queue.peek().action == null) {
            queue.poll();
        }
        return queue.peek();
    }
}
