package magpiewheel.engine;

import java.time.Clock;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

/** Unix microseconds that never go back, whatever the system's clock does. */
public final class UnixClock {
    private static final long MICROS_PER_SECOND = 1_000_000;
    /** What a new clock reads by itself; tests start a front with one that is off. */
    static volatile Clock systemClock = Clock.systemUTC();

    private final AtomicLong lastUs = new AtomicLong();
    private final InstantSource source;

    /** The system's clock. */
    public UnixClock() {
        this(systemClock);
    }

    /** A clock that reads another. */
    public UnixClock(InstantSource source) {
        this.source = source;
    }

    /**
     * Unix time at this moment and even from here on. One that only never goes back stands still where the system's was
     * set back, and what was learnt of another clock by it is off by that.
     */
    public static UnixClock monotonic() {
        return monotonic(systemClock, System::nanoTime);
    }

    static UnixClock monotonic(InstantSource source, LongSupplier nanos) {
        Instant start = source.instant();
        long startNanos = nanos.getAsLong();
        return new UnixClock(() -> start.plusNanos(nanos.getAsLong() - startNanos));
    }

    /** The time now. */
    public long now() {
        Instant instant = source.instant();
        return lastUs.accumulateAndGet(
                instant.getEpochSecond() * MICROS_PER_SECOND + instant.getNano() / 1000, Math::max);
    }
}
