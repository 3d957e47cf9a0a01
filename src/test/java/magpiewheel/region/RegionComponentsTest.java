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

/**
 * Tests the components of region coordination: message codec, ranking, hang detection, handover, load spill and fill
 * admission.
 */
class RegionComponentsTest {
    private static final long SECOND_US = 1_000_000;
    private static final RegionMessage.Header HEADER = new RegionMessage.Header(7, 9L << 16 | 3, 1_800_000_000_000L);

    private static RegionMessage.ParentReport report(
            long parent, long firstByteUs, double failureRatio, double freeLinkShare) {
        return new RegionMessage.ParentReport(parent, firstByteUs, failureRatio, freeLinkShare, 1, 50, 0, 0);
    }

    @Test
    void largestMessagesSurviveEncodingAndDecoding() {
        List<RegionMessage.ParentReport> reports = IntStream.range(0, RegionMessageCodec.MAX_REPORTS)
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
                        HEADER, 5, 6, 7, 600_000, 8, new RegionMessage.Placement(4, 200, List.of(1L, 2L, 3L, 4L))),
                new RegionMessage.Vote(HEADER, true, 300, 1, 2, 3, 4, 5, 6, reports),
                new RegionMessage.Suspicion(HEADER, 5, 300_000, 2),
                new RegionMessage.DirectoryUpdate(HEADER, loads, claims))) {
            byte[] bytes = RegionMessageCodec.encode(message);
            assertTrue(bytes.length <= RegionMessageCodec.MAX_MESSAGE_BYTES, "" + bytes.length);
            assertEquals(message, RegionMessageCodec.decode(bytes));
            for (int length = 0; length < bytes.length; length++) {
                assertNull(RegionMessageCodec.decode(java.util.Arrays.copyOf(bytes, length)));
            }
            assertNull(RegionMessageCodec.decode(java.util.Arrays.copyOf(bytes, bytes.length + 1)));
        }
    }

    @Property(tries = 500, seed = "41")
    void decoderAcceptsArbitraryBytes(@ForAll @Size(max = 260) byte[] bytes) {
        byte[] regionMessage = bytes.clone();
        if (regionMessage.length > 1) {
            regionMessage[0] = RegionMessageCodec.MAGIC;
            regionMessage[1] = (byte) Math.floorMod(regionMessage[1], 6);
        }
        RegionMessage message = RegionMessageCodec.decode(regionMessage);
        assertTrue(
                message == null || RegionMessageCodec.encode(message).length <= RegionMessageCodec.MAX_MESSAGE_BYTES);
    }

    @Test
    void costIsTheMedianAndUnmeasuredParentsAreAverage() {
        ParentRanking ranking = new ParentRanking(7);
        for (int router = 0; router < 5; router++) {
            ranking.addReport(0, router, report(1, 20_000, 0, 1));
            ranking.addReport(0, router, report(2, router == 0 ? 1_000 : 40_000, 0, 1));
        }
        assertEquals(20_000, ranking.cost(1, 1));
        assertEquals(40_000, ranking.cost(1, 2), "one router's report does not decide");
        assertEquals(List.of(1L, 3L, 2L), ranking.ranked(1, List.of(2L, 3L, 1L)));
        assertTrue(Double.isNaN(ranking.cost(ParentRanking.REPORT_VALID_US, 1)), "an expired report");
        for (int router = 0; router < 5; router++) {
            ranking.addReport(0, router, report(1, 20_000, 0, 0.03));
        }
        assertEquals(
                List.of(3L, 2L),
                ranking.ranked(1, List.of(2L, 3L, 1L)).stream()
                        .filter(p -> p != 1)
                        .sorted(java.util.Comparator.reverseOrder())
                        .toList());
        assertEquals(1L, ranking.ranked(1, List.of(2L, 3L, 1L)).get(2), "its link is nearly full");
    }

    @Property(tries = 100, seed = "43")
    void noiseDoesNotChangeTheLeader(@ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        ParentRanking ranking = new ParentRanking(7);
        for (long now = 0; now < 120 * SECOND_US; now += 100_000) {
            for (long parent = 1; parent <= 4; parent++) {
                for (int router = 0; router < 3; router++) {
                    ranking.addReport(now, router, report(parent, 10_000 + random.nextLong(60_000), 0, 1));
                }
            }
            assertEquals(2, ranking.choose(now, 2, List.of(1L, 2L, 3L, 4L)), "seed " + seed);
        }
    }

    @Test
    void suspicionNeedsOneConfirmationAndAResponseRefutesIt() {
        HangDetector hangDetector = new HangDetector();
        assertFalse(hangDetector.addSuspicion(SECOND_US, 1, 9, 300_000, 1));
        assertFalse(hangDetector.addSuspicion(SECOND_US + 50_000, 1, 9, 350_000, 1), "the same report again");
        hangDetector.responded(SECOND_US, 9);
        assertFalse(
                hangDetector.addSuspicion(SECOND_US + 100_000, 2, 9, 10_000, 1),
                "it responded since the first suspicion began");
        assertTrue(hangDetector.addSuspicion(SECOND_US + 150_000, 3, 9, 50_000, 1));
        assertTrue(hangDetector.isEjected(6 * SECOND_US, 9));
        assertFalse(hangDetector.isEjected(7 * SECOND_US, 9));
        assertTrue(hangDetector.addSuspicion(20 * SECOND_US, 1, 9, 300_000, 2), "two overdue responses to one router");
    }

    @Test
    void loadMigratesInStepsThatAllRoutersAgreeOn() {
        for (int step = 0; step < 5; step++) {
            long leadingForUs = step * Handover.STEP_US + 1;
            long migrated = IntStream.range(0, 10_000)
                    .filter(i -> Handover.hasMigrated(leadingForUs, 3, i))
                    .count();
            assertEquals(Math.min(1, Math.pow(2, step) / 16), migrated / 10_000.0, 0.02);
        }
        assertTrue(IntStream.range(0, 1_000)
                .filter(i -> Handover.hasMigrated(0, 3, i))
                .allMatch(i -> Handover.hasMigrated(2 * SECOND_US, 3, i)));
    }

    @Test
    void spillKeepsTheLeaderBelowItsUtilizationBound() {
        Parent leader = new Parent(1, 0, 100, 20, 0, false);
        Parent spillParent = new Parent(2, 0, 100, 20, 0, false);
        LoadSpill spill = new LoadSpill();
        Map<Long, Double> load = new HashMap<>();
        load.put(77L, 30.0);
        IntStream.range(0, 800).forEach(i -> load.put(1_000L + i, 0.1));
        RegionMessage.Placement placement = RegionMessage.Placement.NONE;
        double leaderLoad = 0;
        for (long now = 0; now < 30 * SECOND_US; now += 200_000) {
            RegionMessage.Placement currentPlacement = placement;
            leaderLoad = load.entrySet().stream()
                    .filter(e -> !LoadSpill.isSpilled(currentPlacement, e.getKey()))
                    .mapToDouble(Map.Entry::getValue)
                    .sum();
            boolean hot = !LoadSpill.isSpilled(currentPlacement, 77);
            spill.addReport(now, 0, leaderLoad / 2, hot ? 77 : 1_000, hot ? 15 : 0.1);
            spill.addReport(now, 1, leaderLoad / 2, hot ? 77 : 1_000, hot ? 15 : 0.1);
            placement = spill.decide(now, leader, spillParent, 60);
        }
        assertTrue(LoadSpill.isSpilled(placement, 77), "the hot object spills first");
        assertTrue(leaderLoad <= LoadSpill.HIGH_UTILIZATION * 100, "load at the leader " + leaderLoad);
        assertTrue(placement.slice() <= 60, "slice " + placement.slice());
        for (long now = 30 * SECOND_US; now < 60 * SECOND_US; now += 200_000) {
            spill.addReport(now, 0, 10, 0, 0);
            spill.addReport(now, 1, 10, 0, 0);
            placement = spill.decide(now, leader, spillParent, 60);
        }
        assertEquals(RegionMessage.Placement.NONE, placement, "load is taken back");
    }

    /**
     * When cold zones request far more objects than the admitted rate allows, the rate is kept and the most requested
     * objects are filled first.
     */
    @Test
    void fillsAreAdmittedAtTheRateMostRequestedFirst() {
        SplittableRandom random = new SplittableRandom(3);
        FillAdmission admission = new FillAdmission();
        Map<Long, Long> admittedAt = new HashMap<>();
        Map<Long, Integer> requestCounts = new HashMap<>();
        for (long now = 0; now < 4 * SECOND_US; now += 500) {
            // Zipf-like: object n is requested with a frequency proportional to 1/n.
            long object = (long) Math.pow(2_000, random.nextDouble());
            requestCounts.merge(object, 1, Integer::sum);
            if (!admittedAt.containsKey(object) && admission.admits(now, object, 1, 50)) {
                admittedAt.put(object, now);
                admission.fillEnded(object, true);
            }
        }
        assertTrue(admittedAt.size() <= 4 * 50 + 10, "fills admitted: " + admittedAt.size());
        assertTrue(admittedAt.size() >= 150, "the rate is used; fills admitted: " + admittedAt.size());
        long admittedOfTop50 = IntStream.rangeClosed(1, 50)
                .filter(i -> admittedAt.containsKey((long) i))
                .count();
        assertTrue(admittedOfTop50 >= 48, "fills of the 50 most requested objects: " + admittedOfTop50);
        FillAdmission unsaturated = new FillAdmission();
        assertTrue(
                IntStream.range(0, 100).allMatch(i -> unsaturated.admits(i * 100_000L, i, 1, 50)),
                "nothing is rejected while the rate suffices");
    }
}
