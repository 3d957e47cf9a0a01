package magpiewheel.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class PurgeLogTest {
    private static final long NOW = 1_000_000_000;
    private static final int GROUP = 5;
    private final PurgeLog log = new PurgeLog();

    @Test
    void theNewestPurgeOfAnObjectOrItsGroupCounts() {
        assertEquals(Long.MIN_VALUE, log.lastPurge(77, GROUP));
        log.add(NOW - 300, new Purge(0, 0, GROUP));
        log.add(NOW - 200, new Purge(0, 77, GROUP));
        log.add(NOW - 400, new Purge(0, 77, GROUP));
        assertEquals(NOW - 200, log.lastPurge(77, GROUP));
        assertEquals(NOW - 300, log.lastPurge(78, GROUP));
        assertEquals(NOW - 300, log.lastGroupPurge(GROUP));
        assertEquals(Long.MIN_VALUE, log.lastPurge(78, GROUP + 1));
    }
}
