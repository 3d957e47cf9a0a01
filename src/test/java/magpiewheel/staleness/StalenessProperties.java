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

/**
 * Guarantees of reads with hints, checked over seeded histories of each fault; {@code -Dpins.histories=N} runs N of
 * each.
 */
class StalenessProperties {
    private static final int HISTORIES = Integer.getInteger("pins.histories", 4);
    private static final long SECONDS = 20;
    private static final Map<HistoryFault, List<StalenessTally>> PLAYED = new EnumMap<>(HistoryFault.class);

    private static synchronized List<StalenessTally> talliesOf(HistoryFault fault) {
        return PLAYED.computeIfAbsent(fault, key -> {
            List<StalenessTally> tallies = new ArrayList<>();
            for (long seed = 1; seed <= HISTORIES; seed++) {
                tallies.add(new StalenessWorld(seed, fault, HintUse.PINS).play(SECONDS));
            }
            return tallies;
        });
    }

    /** Asserts that no history has violations of a kind; a failure names the fault and the seed. */
    private static void assertNone(HistoryFault fault, Function<StalenessTally, List<String>> violations) {
        List<StalenessTally> tallies = talliesOf(fault);
        for (int i = 0; i < tallies.size(); i++) {
            assertEquals(List.of(), violations.apply(tallies.get(i)), fault + ", seed " + (i + 1));
        }
    }

    @ParameterizedTest
    @EnumSource(HistoryFault.class)
    void noReadViolatesItsBoundOrMark(HistoryFault fault) {
        assertNone(fault, tally -> tally.boundViolations);
        long served =
                talliesOf(fault).stream().mapToLong(tally -> tally.strictServed).sum();
        assertTrue(served > 500L * HISTORIES, "too few strict reads were served: " + served);
    }

    @ParameterizedTest
    @EnumSource(HistoryFault.class)
    void noSessionReadsAnOlderVersion(HistoryFault fault) {
        assertNone(fault, tally -> tally.sessionRegressions);
    }

    @ParameterizedTest
    @EnumSource(HistoryFault.class)
    void noStrictReadPredatesADeliveredPurge(HistoryFault fault) {
        assertNone(fault, tally -> tally.purgeViolations);
    }

    @ParameterizedTest
    @EnumSource(HistoryFault.class)
    void noReportedAgeIsTooSmall(HistoryFault fault) {
        assertNone(fault, tally -> tally.understatedAges);
        assertTrue(
                fault != HistoryFault.CLOCKS || talliesOf(fault).stream().anyMatch(tally -> tally.preferViolations > 0),
                "no reply reported an age");
    }

    @ParameterizedTest
    @EnumSource(HistoryFault.class)
    void gossipIsBoundedInSizeAndRate(HistoryFault fault) {
        for (StalenessTally tally : talliesOf(fault)) {
            assertTrue(tally.maxMessageBytes <= 256, "largest message: " + tally.maxMessageBytes + " bytes");
            assertTrue(
                    tally.messagesSent <= 40 * SECONDS * StalenessWorld.ROUTERS, tally.messagesSent + " messages sent");
        }
    }

    @ParameterizedTest
    @EnumSource(
            value = HistoryFault.class,
            names = {"NONE", "LOSS", "SPLIT", "KILLED", "LATE_PURGES", "CACHES"})
    void fewStrictReadsAreRejectedWhileClocksAndDiscoveryWork(HistoryFault fault) {
        long strict =
                talliesOf(fault).stream().mapToLong(tally -> tally.strictReads).sum();
        long rejected = talliesOf(fault).stream()
                .mapToLong(tally -> tally.strictRejected)
                .sum();
        assertTrue(rejected < strict * 0.02, rejected + " of " + strict + " strict reads rejected");
    }

    /** Routers start without the origin's clock; the first strict reads learn it, and hardly any later ones need to. */
    @ParameterizedTest
    @EnumSource(
            value = HistoryFault.class,
            names = {"NONE", "LATE_PURGES", "CACHES"})
    void fewReadsGoToTheOriginToLearnItsClock(HistoryFault fault) {
        for (StalenessTally tally : talliesOf(fault)) {
            assertTrue(
                    tally.originClockReads > 0 && tally.originClockReads <= 2 * StalenessWorld.ROUTERS,
                    tally.originClockReads + " reads sent to the origin to learn its clock");
        }
    }
}
