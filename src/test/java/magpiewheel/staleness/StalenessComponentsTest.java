package magpiewheel.staleness;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** The parts of pinned reads, each by itself. */
class StalenessComponentsTest {
    private static final long NOW = 1_764_576_000_000_000L;
    private static final long MS = 1_000;
    private static final long S = 1_000_000;

    // ---------------------------------------------------------------- the origin's clock

    @Test
    void whatIsKnownOfTheClockWidensAndNarrowsAgain() {
        OriginClock clock = new OriginClock();
        assertFalse(clock.isKnown(NOW));
        assertEquals(-1, clock.widthUs(NOW));
        clock.raiseLowerBound(NOW, NOW + 100 * MS);
        assertFalse(clock.isKnown(NOW), "a lower bound alone is no use");
        clock.lowerUpperBound(NOW, NOW + 110 * MS);
        assertTrue(clock.isKnown(NOW));
        assertEquals(10 * MS, clock.widthUs(NOW));
        assertEquals(NOW + 110 * MS, clock.latest(NOW));
        assertEquals(10 * MS + 2 * 12_000, clock.widthUs(NOW + 10 * S));
        assertEquals(NOW + 10 * S + 110 * MS + 12 * MS, clock.latest(NOW + 10 * S));
        clock.lowerUpperBound(NOW + 10 * S, NOW + 10 * S + 111 * MS);
        assertEquals(NOW + 10 * S + 111 * MS, clock.latest(NOW + 10 * S));
        clock.lowerUpperBound(NOW + 10 * S, NOW + 10 * S + 500 * MS);
        assertEquals(NOW + 10 * S + 111 * MS, clock.latest(NOW + 10 * S), "a looser bound changes nothing");
        assertFalse(clock.isKnown(NOW + 1_000 * S), "past 2 s it is of no use");
    }

    @Test
    void aClockThatWasSteppedIsFoundAndLearntAnew() {
        OriginClock clock = new OriginClock();
        clock.raiseLowerBound(NOW, NOW);
        clock.lowerUpperBound(NOW, NOW + 5 * MS);
        clock.raiseLowerBound(NOW + S, NOW + S + 400 * MS);
        assertFalse(clock.isKnown(NOW + S), "the old upper bound is refuted");
        assertEquals(1, clock.clockSteps());
        clock.lowerUpperBound(NOW + S, NOW + S + 410 * MS);
        assertTrue(clock.isKnown(NOW + S));
        clock.lowerUpperBound(NOW + 2 * S, NOW + 2 * S - 400 * MS);
        assertEquals(2, clock.clockSteps());
        assertEquals(NOW + 2 * S - 400 * MS, clock.latest(NOW + 2 * S));
    }

    @Test
    void aWriteBoundsTheClockFromBelowOnly() {
        BoundedStalenessReads pins = new BoundedStalenessReads(NOW, 0, 0, new FixedMembershipView(), (to, bytes) -> {});
        pins.writeAnswered(NOW, NOW + 5 * MS, NOW - 90 * S);
        assertEquals(-1, pins.clockUncertaintyUs(NOW + 5 * MS), "a keyed write done long ago would set the clock back");
        pins.responseReceived(NOW, NOW + 5 * MS, NOW + 2 * MS, true);
        assertTrue(pins.clockUncertaintyUs(NOW + 5 * MS) > 0);
    }

    @Test
    void aMarkOfAWriteIsOneMore() {
        assertEquals(1_764_576_000_123L, BoundedStalenessReads.markOf(1_764_576_000_123_000L, false));
        assertEquals(1_764_576_000_124L, BoundedStalenessReads.markOf(1_764_576_000_123_000L, true));
        assertEquals(0, BoundedStalenessReads.markOf(0, true));
    }

    // ---------------------------------------------------------------- the table

    @Test
    void theOldestOfAFullSetGivesWayAndTheAgedAreGone() {
        SetAssociativeTable ways = new SetAssociativeTable(64, 100 * S);
        for (long i = 0; i < 1_000; i++) {
            long key = SetAssociativeTable.keyOf(i, 0, 0);
            ways.put(NOW + i, ways.slotFor(NOW + i, key), key, i, 0, 0);
        }
        long kept = IntStream.range(0, 1_000)
                .filter(i -> ways.find(NOW + 1_000, SetAssociativeTable.keyOf(i, 0, 0)) >= 0)
                .count();
        assertEquals(64, kept);
        assertTrue(IntStream.range(0, 500)
                .noneMatch(i -> ways.find(NOW + 1_000, SetAssociativeTable.keyOf(i, 0, 0)) >= 0));
        assertEquals(999, ways.first(ways.find(NOW + 1_000, SetAssociativeTable.keyOf(999, 0, 0))));
        assertEquals(-1, ways.find(NOW + 999 + 100 * S, SetAssociativeTable.keyOf(999, 0, 0)));
    }

    @Test
    void whatALaterWordTellsOfAnOlderCopyChangesNothing() {
        ReplicaIndex copies = new ReplicaIndex(64, 100 * S);
        assertTrue(copies.observed(NOW, 1, 0, 5, NOW));
        assertFalse(copies.observed(NOW, 1, 0, 5, NOW - S));
        assertEquals(NOW, copies.originTimeOf(NOW, 1, 0, 5));
        assertEquals(0, copies.originTimeOf(NOW, 1, 1, 5));
        copies.removeOlder(2, NOW + 1);
        copies.removeOlder(1, NOW);
        assertEquals(NOW, copies.originTimeOf(NOW, 1, 0, 5), "as old as the purge is not older");
        copies.removeOlder(1, NOW + 1);
        assertEquals(0, copies.originTimeOf(NOW, 1, 0, 5));
    }

    // ---------------------------------------------------------------- pins

    static List<Replica> caches(int count, long draining) {
        return IntStream.rangeClosed(1, count)
                .mapToObj(i -> new Replica(i, i == draining, 1, 0))
                .toList();
    }

    @Test
    void aCrowdMovesNoHotSpot() {
        StickyReplicaTable pins = new StickyReplicaTable(1 << 14, 600 * S);
        pins.replicasChanged(NOW, caches(4, 0));
        for (int i = 0; i < 8_000; i++) {
            pins.assign(NOW, 1 + i, 9, i % 8 == 0 ? 1 + i / 8 % 4 : 1);
            assertTrue(
                    pins.assignedTo(1) <= Math.max(16, 1.25 * pins.totalAssigned() / 4) + 1,
                    pins.assignedTo(1) + " of " + pins.totalAssigned());
        }
        assertTrue(
                pins.assignedTo(1) > 200 && pins.totalAssigned() > 900,
                pins.assignedTo(1) + " of " + pins.totalAssigned());
        int moved = 0;
        for (int i = 0; i < 8_000; i++) {
            moved += pins.admitsMigration(NOW, 2) ? 1 : 0;
        }
        assertEquals(16, moved, "reads that leave the module's order for one cache");
        assertTrue(pins.admitsMigration(NOW + 2 * S, 2));
    }

    @Test
    void pinsLeaveADrainingCacheAtOnceAndComeBackPaced() {
        StickyReplicaTable pins = new StickyReplicaTable(1 << 14, 600 * S);
        pins.replicasChanged(NOW, caches(4, 0));
        for (int i = 0; i < 4_000; i++) {
            assertTrue(pins.assign(NOW, 1 + i, 9, 1 + i % 4));
        }
        assertEquals(List.of(), pins.replicasChanged(NOW + 1, caches(4, 2)));
        assertEquals(0, pins.assignedTo(2));
        for (int i = 0; i < 4_000; i++) {
            assertEquals(i % 4 == 1 ? 0 : 1 + i % 4, pins.replicaOf(NOW + 1, 1 + i, 9), "no other pin moves");
        }
        for (int i = 1; i < 4_000; i += 4) {
            assertTrue(pins.assign(NOW + 2, 1 + i, 9, 3 + i / 4 % 2));
        }
        pins.replicasChanged(NOW + 10 * S, caches(4, 0));
        for (int s = 0; s <= 20; s += 5) {
            long at = NOW + 10 * S + s * S;
            long back = IntStream.range(0, 1_000)
                    .filter(i -> pins.replicaOf(at, 2 + 4L * i, 9) == 2)
                    .count();
            assertEquals(1_000 * s / 20, back, 60, "after " + s + " s");
        }
        assertEquals(
                List.of(3L),
                pins.replicasChanged(NOW + 40 * S, caches(2, 0)).stream()
                        .filter(id -> id == 3)
                        .toList());
        assertEquals(0, pins.assignedTo(3));
    }

    @Test
    void aCacheThatStartedAgainHoldsNothing() {
        BoundedStalenessReads pins = new BoundedStalenessReads(NOW, 0, 0, new FixedMembershipView(), (to, bytes) -> {});
        pins.replicasChanged(NOW, List.of(new Replica(1, false, 1, 0)));
        pins.responseServed(NOW, new ReadHint(0, 5, 8, true), 9, 0, 1, NOW);
        StalenessBound bound = pins.boundOf(NOW, new ReadHint(0, 5, 8, false), S, S, 0);
        assertEquals(1, pins.preferredReplica(NOW, new ReadHint(0, 5, 8, false), 9, 0, List.of(1L), bound));
        pins.replicasChanged(NOW + 1, List.of(new Replica(1, false, 1, NOW)));
        assertEquals(0, pins.preferredReplica(NOW + 1, new ReadHint(0, 5, 0, false), 9, 0, List.of(1L), bound));
        assertEquals(0, pins.stickyReplicas());
    }

    // ---------------------------------------------------------------- between fronts

    /** Two fronts and the way between them, at once and in order. */
    private static final class Two {
        final ArrayDeque<Runnable> way = new ArrayDeque<>();
        final BoundedStalenessReads[] fronts = new BoundedStalenessReads[2];
        long now = NOW;
        int sent;
        long offset;

        long clock(int me) {
            return now + (me == 1 ? offset : 0);
        }

        void start(int me) {
            fronts[me] = new BoundedStalenessReads(
                    clock(me), me, 0, new FixedMembershipView(List.of(1 - me)), (to, bytes) -> {
                        assertTrue(bytes.length <= 256 && bytes[0] == (byte) 0xe2);
                        sent++;
                        way.add(() -> fronts[to].messageReceived(clock(to), me, bytes));
                    });
            fronts[me].replicasChanged(clock(me), caches(4, 0));
        }

        void run(long us) {
            for (long end = now + us; now < end; now += 50 * MS) {
                for (int me = 0; me < 2; me++) {
                    fronts[me].discoveryHeard(clock(me));
                    if (clock(me) >= fronts[me].due()) {
                        fronts[me].tick(clock(me));
                    }
                }
                now += 10 * MS;
                while (!way.isEmpty()) {
                    way.remove().run();
                }
            }
        }
    }

    @Test
    void aFrontThatStartsAgainHasItsCopiesPinsAndClockFromAnother() {
        Two two = new Two();
        two.offset = -400 * MS;
        two.start(0);
        two.start(1);
        two.run(S);
        two.fronts[1].responseReceived(two.clock(1), two.clock(1) + 4 * MS, two.clock(1) + 700 * MS, true);
        for (int i = 0; i < 300; i++) {
            two.fronts[1].responseServed(two.clock(1), new ReadHint(0, 5, 100 + i, true), 1 + i, 0, 1 + i % 4, NOW);
            two.run(60 * MS);
        }
        two.start(0);
        assertEquals(0, two.fronts[0].stickyReplicas());
        two.run(6 * S);
        assertEquals(300, two.fronts[0].stickyReplicas());
        ReadHint hint = new ReadHint(0, NOW / MS, 100 + 17, true);
        StalenessBound bound = two.fronts[0].boundOf(two.now, hint, 900 * S, S, 0);
        assertEquals(1 + 17 % 4, two.fronts[0].preferredReplica(two.now, hint, 18, 0, List.of(4L, 3L, 2L, 1L), bound));
        assertTrue(two.fronts[0].mayBeAcceptable(two.now, 18, 0, 1 + 17 % 4, bound));
        long error = two.fronts[0].clockUncertaintyUs(two.now);
        assertTrue(error >= 0 && error < 100 * MS, "the clock is known within " + error);
        // Front 1's clock is 400 ms behind, and the origin's 700 ms ahead of that one.
        StalenessBound young = two.fronts[0].boundOf(two.now, new ReadHint(1_000 * MS, 0, 0, false), 900 * S, S, 0);
        assertTrue(young.oldestAcceptableUs() >= two.now + 300 * MS - 1_000 * MS, "the bound is on the safe side");
    }

    @Test
    void whatFrontsTellIsBounded() {
        Two two = new Two();
        two.start(0);
        two.start(1);
        two.run(5 * S);
        two.sent = 0;
        for (int i = 0; i < 50_000; i++) {
            two.fronts[0].responseServed(two.now, new ReadHint(0, 5, 1 + i, true), 1 + i, 0, 1 + i % 4, NOW + i);
        }
        for (int tick = 0; tick < 40; tick++) {
            two.sent = 0;
            two.run(ReplicaGossip.TICK_US);
            assertTrue(
                    two.sent <= 2 * (ReplicaGossip.MAX_DATAGRAMS_PER_TICK + 2),
                    two.sent + " datagrams in a tick of two fronts");
        }
    }

    @Test
    void aCopyIsToldToFourFrontsInTurn() {
        List<Integer> peers = IntStream.rangeClosed(1, 20).boxed().toList();
        Map<Integer, Integer> told = new HashMap<>();
        int[] most = new int[1];
        Map<String, Integer> copies = new HashMap<>();
        BoundedStalenessReads pins =
                new BoundedStalenessReads(NOW, 0, 0, new FixedMembershipView(peers), (to, bytes) -> {
                    told.merge(to, 1, Integer::sum);
                    most[0] = Math.max(
                            most[0], bytes[2] == 1 ? copies.merge(Arrays.toString(bytes), 1, Integer::sum) : 0);
                });
        for (int i = 0; i < 90; i++) {
            pins.responseServed(NOW, new ReadHint(0, 5, 0, true), 1 + i, 0, 1 + i % 4, NOW + i);
        }
        for (int tick = 0; tick < 20; tick++) {
            pins.tick(NOW + tick * ReplicaGossip.TICK_US);
        }
        assertEquals(ReplicaGossip.RECEIVERS_PER_MESSAGE, most[0]);
        assertEquals(10, copies.size());
        assertEquals(20, told.size(), "the turn goes round");
    }

    @Test
    void whatIsNotOursChangesNothing() {
        BoundedStalenessReads pins =
                new BoundedStalenessReads(NOW, 0, 0, new FixedMembershipView(List.of(1)), (to, bytes) -> {});
        SplittableRandom random = new SplittableRandom(5);
        List<byte[]> all = new ArrayList<>();
        for (int i = 0; i < 2_000; i++) {
            byte[] bytes = new byte[random.nextInt(257)];
            random.nextBytes(bytes);
            all.add(bytes);
        }
        all.add(new byte[] {ReplicaGossip.PROTOCOL_BYTE, 2, 1, 0});
        all.add(new byte[] {ReplicaGossip.PROTOCOL_BYTE, 1, 9, 0});
        all.add(new byte[] {ReplicaGossip.PROTOCOL_BYTE, 1, 1, 3, 0, 0});
        all.forEach(bytes -> pins.messageReceived(NOW, 1, bytes));
        assertEquals(all.size(), pins.malformedMessages());
        assertEquals(0, pins.stickyReplicas());
        // An answer that nobody asked for.
        byte[] answer = java.nio.ByteBuffer.allocate(28)
                .put(ReplicaGossip.PROTOCOL_BYTE)
                .put((byte) 1)
                .put((byte) 4)
                .put((byte) 0)
                .putLong(NOW - S)
                .putLong(NOW)
                .putLong(NOW)
                .array();
        pins.messageReceived(NOW, 1, answer);
        assertEquals(-1, pins.clockUncertaintyUs(NOW));
    }
}
