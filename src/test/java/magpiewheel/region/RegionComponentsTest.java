package magpiewheel.region;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** The small parts: messages, ranking, evidence, steps, spill and pace. */
class RegionComponentsTest {
    private static final long S = 1_000_000;
    private static final RegionMessage.Header HEAD = new RegionMessage.Header(7, 9L << 16 | 3, 1_800_000_000_000L);

    private static RegionMessage.ParentReport opinion(long parent, long first, double failures, double room) {
        return new RegionMessage.ParentReport(parent, first, failures, room, 1, 50, 0, 0);
    }

    @Test
    void messagesComeThroughWholeAtTheirLargest() {
        List<RegionMessage.ParentReport> opinions = IntStream.range(0, RegionMessageCodec.MAX_REPORTS)
                .mapToObj(i -> new RegionMessage.ParentReport(i, 5_000, 1, 0, 1, 255, 40, 60_000))
                .toList();
        List<RegionMessage.ZoneLoad> loads = IntStream.range(0, RegionMessageCodec.MAX_LOADS)
                .mapToObj(i -> new RegionMessage.ZoneLoad(i, i, 0.5, i - 1))
                .toList();
        List<RegionMessage.LeadershipClaim> claims = IntStream.range(0, RegionMessageCodec.MAX_CLAIMS)
                .mapToObj(i -> new RegionMessage.LeadershipClaim(i, i, i, 2, 1_000))
                .toList();
        for (RegionMessage message : List.of(
                new RegionMessage.LeaseRequest(
                        HEAD, 5, 6, 7, 600_000, 8, new RegionMessage.Placement(4, 200, List.of(1L, 2L, 3L, 4L))),
                new RegionMessage.Vote(HEAD, true, 300, 1, 2, 3, 4, 5, 6, opinions),
                new RegionMessage.Suspicion(HEAD, 5, 300_000, 2),
                new RegionMessage.DirectoryUpdate(HEAD, loads, claims))) {
            byte[] bytes = RegionMessageCodec.encode(message);
            assertTrue(bytes.length <= RegionMessageCodec.MAX_MESSAGE_BYTES, "" + bytes.length);
            assertEquals(message, RegionMessageCodec.decode(bytes));
            for (int cut = 0; cut < bytes.length; cut++) {
                assertNull(RegionMessageCodec.decode(java.util.Arrays.copyOf(bytes, cut)));
            }
            assertNull(RegionMessageCodec.decode(java.util.Arrays.copyOf(bytes, bytes.length + 1)));
        }
    }

    @Property(tries = 500, seed = "41")
    void anythingMayCome(@ForAll @Size(max = 260) byte[] bytes) {
        byte[] ours = bytes.clone();
        if (ours.length > 1) {
            ours[0] = RegionMessageCodec.MAGIC;
            ours[1] = (byte) Math.floorMod(ours[1], 6);
        }
        RegionMessage message = RegionMessageCodec.decode(ours);
        assertTrue(
                message == null || RegionMessageCodec.encode(message).length <= RegionMessageCodec.MAX_MESSAGE_BYTES);
    }

    @Test
    void theMiddleWordCountsAndUnheardOnesAreAverage() {
        ParentRanking candidates = new ParentRanking(7);
        for (int front = 0; front < 5; front++) {
            candidates.addReport(0, front, opinion(1, 20_000, 0, 1));
            candidates.addReport(0, front, opinion(2, front == 0 ? 1_000 : 40_000, 0, 1));
        }
        assertEquals(20_000, candidates.cost(1, 1));
        assertEquals(40_000, candidates.cost(1, 2), "one front's word elects nobody");
        assertEquals(List.of(1L, 3L, 2L), candidates.ranked(1, List.of(2L, 3L, 1L)));
        assertTrue(Double.isNaN(candidates.cost(ParentRanking.REPORT_VALID_US, 1)), "an old word");
        for (int front = 0; front < 5; front++) {
            candidates.addReport(0, front, opinion(1, 20_000, 0, 0.03));
        }
        assertEquals(
                List.of(3L, 2L),
                candidates.ranked(1, List.of(2L, 3L, 1L)).stream()
                        .filter(p -> p != 1)
                        .sorted(java.util.Comparator.reverseOrder())
                        .toList());
        assertEquals(1L, candidates.ranked(1, List.of(2L, 3L, 1L)).get(2), "no room on its link");
    }

    @Property(tries = 100, seed = "43")
    void noiseElectsNobody(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        ParentRanking candidates = new ParentRanking(7);
        for (long now = 0; now < 120 * S; now += 100_000) {
            for (long parent = 1; parent <= 4; parent++) {
                for (int front = 0; front < 3; front++) {
                    candidates.addReport(now, front, opinion(parent, 10_000 + random.nextLong(60_000), 0, 1));
                }
            }
            assertEquals(2, candidates.choose(now, 2, List.of(1L, 2L, 3L, 4L)), "seed " + seed);
        }
    }

    @Test
    void aDoubtNeedsOneConfirmationAndAnAnswerRefutesIt() {
        HangDetector evidence = new HangDetector();
        assertFalse(evidence.addSuspicion(S, 1, 9, 300_000, 1));
        assertFalse(evidence.addSuspicion(S + 50_000, 1, 9, 350_000, 1), "the same word again");
        evidence.responded(S, 9);
        assertFalse(evidence.addSuspicion(S + 100_000, 2, 9, 10_000, 1), "answered since the first was silent");
        assertTrue(evidence.addSuspicion(S + 150_000, 3, 9, 50_000, 1));
        assertTrue(evidence.isEjected(6 * S, 9));
        assertFalse(evidence.isEjected(7 * S, 9));
        assertTrue(evidence.addSuspicion(20 * S, 1, 9, 300_000, 2), "two overdue answers of one front");
    }

    @Test
    void loadMovesInStepsThatAllFrontsShare() {
        for (int step = 0; step < 5; step++) {
            long led = step * Handover.STEP_US + 1;
            long moved = IntStream.range(0, 10_000)
                    .filter(i -> Handover.hasMigrated(led, 3, i))
                    .count();
            assertEquals(Math.min(1, Math.pow(2, step) / 16), moved / 10_000.0, 0.02);
        }
        assertTrue(IntStream.range(0, 1_000)
                .filter(i -> Handover.hasMigrated(0, 3, i))
                .allMatch(i -> Handover.hasMigrated(2 * S, 3, i)));
    }

    @Test
    void whatSpillsHasOnePlaceAndTheLeaderIsBelowItsBound() {
        Parent first = new Parent(1, 0, 100, 20, 0, false);
        Parent second = new Parent(2, 0, 100, 20, 0, false);
        LoadSpill spill = new LoadSpill();
        Map<Long, Double> load = new HashMap<>();
        load.put(77L, 30.0);
        IntStream.range(0, 800).forEach(i -> load.put(1_000L + i, 0.1));
        RegionMessage.Placement placement = RegionMessage.Placement.NONE;
        double atFirst = 0;
        for (long now = 0; now < 30 * S; now += 200_000) {
            RegionMessage.Placement known = placement;
            atFirst = load.entrySet().stream()
                    .filter(e -> !LoadSpill.isSpilled(known, e.getKey()))
                    .mapToDouble(Map.Entry::getValue)
                    .sum();
            boolean hot = !LoadSpill.isSpilled(known, 77);
            spill.addReport(now, 0, atFirst / 2, hot ? 77 : 1_000, hot ? 15 : 0.1);
            spill.addReport(now, 1, atFirst / 2, hot ? 77 : 1_000, hot ? 15 : 0.1);
            placement = spill.decide(now, first, second, 60);
        }
        assertTrue(LoadSpill.isSpilled(placement, 77), "the hot one goes first");
        assertTrue(atFirst <= LoadSpill.HIGH_UTILIZATION * 100, "at the leader " + atFirst);
        assertTrue(placement.slice() <= 60, "slice " + placement.slice());
        for (long now = 30 * S; now < 60 * S; now += 200_000) {
            spill.addReport(now, 0, 10, 0, 0);
            spill.addReport(now, 1, 10, 0, 0);
            placement = spill.decide(now, first, second, 60);
        }
        assertEquals(RegionMessage.Placement.NONE, placement, "taken back");
    }

    /** A cold branch asks for far more than may go up: the pace is kept, and what is wanted most goes up first. */
    @Test
    void missesGoUpAtThePaceMostWantedFirst() {
        SplittableRandom random = new SplittableRandom(3);
        FillAdmission pace = new FillAdmission();
        Map<Long, Long> wentUp = new HashMap<>();
        Map<Long, Integer> asked = new HashMap<>();
        for (long now = 0; now < 4 * S; now += 500) {
            // Zipf-like: object n is asked for as 1/n.
            long object = (long) Math.pow(2_000, random.nextDouble());
            asked.merge(object, 1, Integer::sum);
            if (!wentUp.containsKey(object) && pace.admits(now, object, 1, 50)) {
                wentUp.put(object, now);
                pace.fillEnded(object, true);
            }
        }
        assertTrue(wentUp.size() <= 4 * 50 + 10, "went up " + wentUp.size());
        assertTrue(wentUp.size() >= 150, "the pace is used: " + wentUp.size());
        long ofTheMost = IntStream.rangeClosed(1, 50)
                .filter(i -> wentUp.containsKey((long) i))
                .count();
        assertTrue(ofTheMost >= 48, "of the 50 most wanted " + ofTheMost);
        FillAdmission idle = new FillAdmission();
        assertTrue(
                IntStream.range(0, 100).allMatch(i -> idle.admits(i * 100_000L, i, 1, 50)),
                "nothing is held while it fits");
    }
}
