package magpiewheel.engine;

import java.time.Clock;
import java.time.Duration;
import magpiewheel.Main;

/** Starts the program with a clock that is off by the number of milliseconds in an environment variable. */
public final class OffsetMain {
    public static final String OFFSET_MS_VARIABLE = "TEST_CLOCK_OFF_MS";

    private OffsetMain() {}

    /** Shifts the clock, then runs {@link Main}. */
    public static void main(String[] args) {
        UnixClock.systemClock =
                Clock.offset(Clock.systemUTC(), Duration.ofMillis(Long.parseLong(System.getenv(OFFSET_MS_VARIABLE))));
        Main.main(args);
    }
}
