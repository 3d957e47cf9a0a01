package magpiewheel.engine;

import java.util.Locale;
import java.util.StringJoiner;
import java.util.concurrent.atomic.AtomicLongArray;

/** The values of all counters. Thread-safe. */
public final class Counters {
    private final AtomicLongArray values = new AtomicLongArray(Counter.values().length);

    /** Increments a counter by one. */
    public void add(Counter counter) {
        values.incrementAndGet(counter.ordinal());
    }

    /** Adds an amount to a counter. */
    public void add(Counter counter, long amount) {
        values.addAndGet(counter.ordinal(), amount);
    }

    /** Returns the current value of a counter. */
    public long get(Counter counter) {
        return values.get(counter.ordinal());
    }

    /** Returns all counters as {@code name=value} pairs, separated by commas. */
    @Override
    public String toString() {
        StringJoiner text = new StringJoiner(",");
        for (Counter counter : Counter.values()) {
            text.add(counter.name().toLowerCase(Locale.ROOT) + "=" + get(counter));
        }
        return text.toString();
    }
}
