package magpiewheel.engine;

import java.time.Clock;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

/** A clock of Unix microseconds that never goes back, even if the system clock is set back. Thread-safe. */
public final class UnixClock {
    private static final long MICROS_PER_SECOND = 1_000_000;
    /** The default time source; tests replace it to start a router with a wrong clock. */
    static volatile Clock systemClock = Clock.systemUTC();

    private final AtomicLong lastUs = new AtomicLong();
    private final InstantSource source;

    /** Creates a clock that reads the system clock. */
    public UnixClock() {
        this(systemClock);
    }

    /** Creates a clock that reads another time source. */
    public UnixClock(InstantSource source) {
        this.source = source;
    }

    /**
     * Returns a clock that starts at the current Unix time and then advances with {@link System#nanoTime}. A clock that
     * merely never goes back stands still after the system clock is set back, and offsets of other clocks measured with
     * it are then wrong by that amount.
     */
    public static UnixClock monotonic() {
        return monotonic(systemClock, System::nanoTime);
    }

    static UnixClock monotonic(InstantSource source, LongSupplier nanos) {
        Instant start = source.instant();
        long startNanos = nanos.getAsLong();
        return new UnixClock(() -> start.plusNanos(nanos.getAsLong() - startNanos));
    }

    /** Returns the current time in Unix microseconds. */
    public long now() {
        Instant instant = source.instant();
        return lastUs.accumulateAndGet(
                instant.getEpochSecond() * MICROS_PER_SECOND + instant.getNano() / 1000, Math::max);
    }
}
