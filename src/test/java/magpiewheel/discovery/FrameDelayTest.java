package magpiewheel.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class FrameDelayTest {
    private static final DiscoveryFrame EMPTY = new DiscoveryFrame(1, null);
    private static final long REQUESTED_NS = TimeUnit.SECONDS.toNanos(100);

    /** Empty frames arrive at these times after the request, ms; the estimate after the last of them, ms. */
    @ParameterizedTest
    @CsvSource({
        "0, 0",
        "3000, 3000",
        // Steady, also with the service's own deviations from the interval.
        "3000 4000 5000 6000, 3000",
        "3000 4300 5100 6400 7000, 3000",
        // A gap: what came late is that late.
        "0 1000 2000 9500 10500, 6500",
        // A burst behind a late start: what was held up arrived, and the delay is over.
        "6000 6010 6020 6030 6040 6050 6060 7000, 60",
        // Frames that come more often than the interval prove no delay.
        "500 700 900 1100, 0"
    })
    void theDelayFollowsGapsAndBurstsOfEmptyFrames(String arrivalsMs, long delayMs) {
        FrameDelay delay = new FrameDelay(REQUESTED_NS);
        for (String arrivalMs : arrivalsMs.split(" ")) {
            delay.frameReceived(EMPTY, REQUESTED_NS + TimeUnit.MILLISECONDS.toNanos(Long.parseLong(arrivalMs)));
        }
        assertEquals(TimeUnit.MILLISECONDS.toMicros(delayMs), delay.us());
    }
}
