package magpiewheel.staleness;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** The promises of hinted reads over seeded histories of each fault; {@code -Dpins.histories=N} plays N of each. */
class StalenessProperties {
    private static final int HISTORIES = Integer.getInteger("pins.histories", 4);
    private static final long SECONDS = 20;
    private static final Map<HistoryFault, List<StalenessTally>> PLAYED = new EnumMap<>(HistoryFault.class);

    private static synchronized List<StalenessTally> played(HistoryFault fault) {
        return PLAYED.computeIfAbsent(fault, key -> {
            List<StalenessTally> all = new ArrayList<>();
            for (long seed = 1; seed <= HISTORIES; seed++) {
                all.add(new StalenessWorld(seed, fault, HintUse.PINS).play(SECONDS));
            }
            return all;
        });
    }

    /** Nothing of a kind in any history; the first that has some is named by its seed. */
    private static void none(HistoryFault fault, Function<StalenessTally, List<String>> kind) {
        List<StalenessTally> all = played(fault);
        for (int i = 0; i < all.size(); i++) {
            assertEquals(List.of(), kind.apply(all.get(i)), fault + ", seed " + (i + 1));
        }
    }

    @ParameterizedTest
    @EnumSource(HistoryFault.class)
    void noReadIsBeyondItsBoundOrMark(HistoryFault fault) {
        none(fault, tally -> tally.beyond);
        long served =
                played(fault).stream().mapToLong(tally -> tally.strictServed).sum();
        assertTrue(served > 500L * HISTORIES, "hardly anything was served: " + served);
    }

    @ParameterizedTest
    @EnumSource(HistoryFault.class)
    void noSessionGoesBack(HistoryFault fault) {
        none(fault, tally -> tally.back);
    }

    @ParameterizedTest
    @EnumSource(HistoryFault.class)
    void noStrictReadIsOlderThanAPurgeThatWasTold(HistoryFault fault) {
        none(fault, tally -> tally.purged);
    }

    @ParameterizedTest
    @EnumSource(HistoryFault.class)
    void noAgeIsToldTooSmall(HistoryFault fault) {
        none(fault, tally -> tally.odd);
        assertTrue(
                fault != HistoryFault.CLOCKS || played(fault).stream().anyMatch(tally -> tally.preferredOld > 0),
                "none told");
    }

    @ParameterizedTest
    @EnumSource(HistoryFault.class)
    void datagramsAreSmallAndFew(HistoryFault fault) {
        for (StalenessTally tally : played(fault)) {
            assertTrue(tally.mostBytes <= 256, "a message of " + tally.mostBytes);
            assertTrue(tally.sent <= 40 * SECONDS * StalenessWorld.FRONTS, tally.sent + " messages");
        }
    }

    @ParameterizedTest
    @EnumSource(
            value = HistoryFault.class,
            names = {"NONE", "LOSS", "SPLIT", "KILLED", "LATE_PURGES", "CACHES"})
    void fewStrictReadsAreRefusedWhereClocksAndBoardAreWell(HistoryFault fault) {
        long strict = played(fault).stream().mapToLong(tally -> tally.strict).sum();
        long refused =
                played(fault).stream().mapToLong(tally -> tally.strictRefused).sum();
        assertTrue(refused < strict * 0.02, refused + " of " + strict);
    }

    /** Fronts begin without the origin's clock; the first strict reads go for it, and hardly any after them. */
    @ParameterizedTest
    @EnumSource(
            value = HistoryFault.class,
            names = {"NONE", "LATE_PURGES", "CACHES"})
    void fewReadsGoToTheOriginForItsClock(HistoryFault fault) {
        for (StalenessTally tally : played(fault)) {
            assertTrue(tally.learning > 0 && tally.learning <= 2 * StalenessWorld.FRONTS, tally.learning + " went");
        }
    }
}
