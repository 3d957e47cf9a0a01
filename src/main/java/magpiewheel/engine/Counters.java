package magpiewheel.engine;

import java.util.Locale;
import java.util.StringJoiner;
import java.util.concurrent.atomic.AtomicLongArray;

/** The program's counters; any thread may add to them. */
public final class Counters {
    private final AtomicLongArray values = new AtomicLongArray(Counter.values().length);

    /** Adds one. */
    public void add(Counter counter) {
        values.incrementAndGet(counter.ordinal());
    }

    /** Adds some. */
    public void add(Counter counter, long amount) {
        values.addAndGet(counter.ordinal(), amount);
    }

    /** The value now. */
    public long get(Counter counter) {
        return values.get(counter.ordinal());
    }

    /** All of them as {@code name=value}, divided by commas. */
    @Override
    public String toString() {
        StringJoiner text = new StringJoiner(",");
        for (Counter counter : Counter.values()) {
            text.add(counter.name().toLowerCase(Locale.ROOT) + "=" + get(counter));
        }
        return text.toString();
    }
}
