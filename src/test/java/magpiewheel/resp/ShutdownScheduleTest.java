package magpiewheel.resp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class ShutdownScheduleTest {
    private static ShutdownSchedule of(long... deadlinesMs) {
        return ShutdownSchedule.of(java.util.Arrays.stream(deadlinesMs)
                .mapToObj(TimeUnit.MILLISECONDS::toMicros)
                .toList());
    }

    @ParameterizedTest
    @CsvSource({
        "  100,  467,  467,  500,  600,   800",
        "  500,  734,  734,  900, 1000,  1200",
        "  900,  800, 1000, 1300, 1400,  1600",
        " 1700,  800, 1534, 2100, 2200,  2400",
        " 3000,  800, 2400, 3400, 3500,  3700",
        " 3001,  800, 2400, 3400, 3500,  3700",
        "60000,  800, 2400, 3400, 3500,  3700",
    })
    void timesFollowFromTheLongestDeadline(
            long deadline, long acceptUntil, long refuseFrom, long answerBy, long exitBy, long killAt) {
        assertEquals(new ShutdownSchedule(acceptUntil, refuseFrom, answerBy, exitBy, killAt), of(deadline));
    }

    @Test
    void theLongestOfSeveralDeadlinesCounts() {
        assertEquals(of(1_700), of(200, 1_700, 900));
    }

    @Test
    void unknownDeadlinesCountAsLong() {
        assertEquals(of(3_000), ShutdownSchedule.of(List.of()));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 50, 400, 1_000, 2_999, 10_000})
    void eachStepComesBeforeTheNextAndAllBeforeTheKill(long deadlineMs) {
        ShutdownSchedule schedule = of(deadlineMs);
        assertEquals(Math.min(deadlineMs, 3_000) + 700, schedule.killAtMs());
        assertTrue(0 < schedule.acceptUntilMs() && schedule.acceptUntilMs() <= schedule.refuseFromMs());
        assertTrue(schedule.refuseFromMs() <= schedule.answerByMs());
        assertTrue(schedule.answerByMs() < schedule.exitByMs() && schedule.exitByMs() < schedule.killAtMs());
    }
}
