package magpiewheel.staleness;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Fingerprints of all messages, attempts and replies of seeded histories; renaming and restructuring keep them. */
class StalenessFingerprintTest {
    private static final int SECONDS = 12;

    @ParameterizedTest
    @CsvSource({
        "1, NONE, 10924:5810dbe6c83d545b",
        "2, ALL, 7784:9d9e4ea5d55c1c46",
        "3, CLOCKS, 10644:e5e1d08cc10ca48b",
        "4, SPLIT, 10242:b2f1d7ba7c53f7ed",
        "5, LATE_PURGES, 10620:6c15aabc04a7b560",
        "6, ALL, 7684:7f2532eda95cd4ae"
    })
    void history(long seed, HistoryFault fault, String fingerprint) {
        StalenessWorld world = new StalenessWorld(seed, fault, HintUse.PINS);
        world.play(SECONDS);
        assertEquals(fingerprint, world.actions.toString());
    }
}
