package magpiewheel.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class EventLogTest {
    private static final int EVENTS = 400;
    /** Lines of two seconds, as the events may lie on both sides of a full one. */
    private static final int MOST_LINES = 100;

    @Test
    void manyEventsAreCutAndChangesOfStateAreNot() throws Exception {
        PrintStream before = System.err;
        ByteArrayOutputStream written = new ByteArrayOutputStream();
        System.setErr(new PrintStream(written, true, StandardCharsets.UTF_8));
        try {
            for (int i = 0; i < EVENTS; i++) {
                EventLog.log(EventLog.Event.RETRY, "marked=retry");
                EventLog.log(EventLog.Event.STATE, "marked=state");
            }
            EventLog.flush(10_000);
        } finally {
            System.setErr(before);
        }
        String text = written.toString(StandardCharsets.UTF_8);
        long retries = text.lines()
                .filter(line -> line.endsWith(" retry marked=retry"))
                .count();
        assertTrue(retries > 0 && retries <= MOST_LINES, retries + " lines");
        assertEquals(
                EVENTS,
                text.lines()
                        .filter(line -> line.endsWith(" state marked=state"))
                        .count());
    }
}
