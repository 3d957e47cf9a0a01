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

/** Unit tests of the origin clock, the tables of replicas and sticky replicas, and the gossip. */
class StalenessComponentsTest {
    private static final long NOW = 1_764_576_000_000_000L;
    private static final long MS = 1_000;
    private static final long S = 1_000_000;

    // ---------------------------------------------------------------- the origin's clock

    @Test
    void clockBoundsWidenByDriftAndNarrowByMeasurements() {
        OriginClock clock = new OriginClock();
        assertFalse(clock.isKnown(NOW));
        assertEquals(-1, clock.widthUs(NOW));
        clock.raiseLowerBound(NOW, NOW + 100 * MS);
        assertFalse(clock.isKnown(NOW), "a lower bound alone is not enough");
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
        assertFalse(clock.isKnown(NOW + 1_000 * S), "an interval wider than 2 s counts as unknown");
    }

    @Test
    void steppedClockIsDetectedAndMeasuredAgain() {
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
    void writeSetsOnlyTheLowerBoundOfTheClock() {
        BoundedStalenessReads reads =
                new BoundedStalenessReads(NOW, 0, 0, new FixedMembershipView(), (to, bytes) -> {});
        reads.writeAnswered(NOW, NOW + 5 * MS, NOW - 90 * S);
        assertEquals(
                -1,
                reads.clockUncertaintyUs(NOW + 5 * MS),
                "the origin time may be that of an earlier execution of the write");
        reads.responseReceived(NOW, NOW + 5 * MS, NOW + 2 * MS, true);
        assertTrue(reads.clockUncertaintyUs(NOW + 5 * MS) > 0);
    }

    @Test
    void markOfAWriteIsOneMillisecondLater() {
        assertEquals(1_764_576_000_123L, BoundedStalenessReads.markOf(1_764_576_000_123_000L, false));
        assertEquals(1_764_576_000_124L, BoundedStalenessReads.markOf(1_764_576_000_123_000L, true));
        assertEquals(0, BoundedStalenessReads.markOf(0, true));
    }

    // ---------------------------------------------------------------- tables

    @Test
    void leastRecentlyUsedEntryIsReplacedAndOldEntriesExpire() {
        SetAssociativeTable table = new SetAssociativeTable(64, 100 * S);
        for (long i = 0; i < 1_000; i++) {
            long key = SetAssociativeTable.keyOf(i, 0, 0);
            table.put(NOW + i, table.slotFor(NOW + i, key), key, i, 0, 0);
        }
        long found = IntStream.range(0, 1_000)
                .filter(i -> table.find(NOW + 1_000, SetAssociativeTable.keyOf(i, 0, 0)) >= 0)
                .count();
        assertEquals(64, found);
        assertTrue(IntStream.range(0, 500)
                .noneMatch(i -> table.find(NOW + 1_000, SetAssociativeTable.keyOf(i, 0, 0)) >= 0));
        assertEquals(999, table.first(table.find(NOW + 1_000, SetAssociativeTable.keyOf(999, 0, 0))));
        assertEquals(-1, table.find(NOW + 999 + 100 * S, SetAssociativeTable.keyOf(999, 0, 0)));
    }

    @Test
    void olderCopiesAndPurgesOfOtherObjectsChangeNothing() {
        ReplicaIndex replicas = new ReplicaIndex(64, 100 * S);
        assertTrue(replicas.observed(NOW, 1, 0, 5, NOW));
        assertFalse(replicas.observed(NOW, 1, 0, 5, NOW - S));
        assertEquals(NOW, replicas.originTimeOf(NOW, 1, 0, 5));
        assertEquals(0, replicas.originTimeOf(NOW, 1, 1, 5));
        replicas.removeOlder(2, NOW + 1);
        replicas.removeOlder(1, NOW);
        assertEquals(NOW, replicas.originTimeOf(NOW, 1, 0, 5), "a copy as old as the purge stays");
        replicas.removeOlder(1, NOW + 1);
        assertEquals(0, replicas.originTimeOf(NOW, 1, 0, 5));
    }

    // ---------------------------------------------------------------- sticky replicas

    static List<Replica> caches(int count, long draining) {
        return IntStream.rangeClosed(1, count)
                .mapToObj(i -> new Replica(i, i == draining, 1, 0))
                .toList();
    }

    @Test
    void stickyReplicasAndMigrationsAreCappedPerReplica() {
        StickyReplicaTable stickyReplicas = new StickyReplicaTable(1 << 14, 600 * S);
        stickyReplicas.replicasChanged(NOW, caches(4, 0));
        for (int i = 0; i < 8_000; i++) {
            stickyReplicas.assign(NOW, 1 + i, 9, i % 8 == 0 ? 1 + i / 8 % 4 : 1);
            assertTrue(
                    stickyReplicas.assignedTo(1) <= Math.max(16, 1.25 * stickyReplicas.totalAssigned() / 4) + 1,
                    stickyReplicas.assignedTo(1) + " of " + stickyReplicas.totalAssigned());
        }
        assertTrue(
                stickyReplicas.assignedTo(1) > 200 && stickyReplicas.totalAssigned() > 900,
                stickyReplicas.assignedTo(1) + " of " + stickyReplicas.totalAssigned());
        int moved = 0;
        for (int i = 0; i < 8_000; i++) {
            moved += stickyReplicas.admitsMigration(NOW, 2) ? 1 : 0;
        }
        assertEquals(16, moved, "reads that prefer a cache that is not first in order");
        assertTrue(stickyReplicas.admitsMigration(NOW + 2 * S, 2));
    }

    @Test
    void assignmentsLeaveADrainingReplicaAtOnceAndReturnGradually() {
        StickyReplicaTable stickyReplicas = new StickyReplicaTable(1 << 14, 600 * S);
        stickyReplicas.replicasChanged(NOW, caches(4, 0));
        for (int i = 0; i < 4_000; i++) {
            assertTrue(stickyReplicas.assign(NOW, 1 + i, 9, 1 + i % 4));
        }
        assertEquals(List.of(), stickyReplicas.replicasChanged(NOW + 1, caches(4, 2)));
        assertEquals(0, stickyReplicas.assignedTo(2));
        for (int i = 0; i < 4_000; i++) {
            assertEquals(
                    i % 4 == 1 ? 0 : 1 + i % 4,
                    stickyReplicas.replicaOf(NOW + 1, 1 + i, 9),
                    "assignments to other replicas stay");
        }
        for (int i = 1; i < 4_000; i += 4) {
            assertTrue(stickyReplicas.assign(NOW + 2, 1 + i, 9, 3 + i / 4 % 2));
        }
        stickyReplicas.replicasChanged(NOW + 10 * S, caches(4, 0));
        for (int s = 0; s <= 20; s += 5) {
            long at = NOW + 10 * S + s * S;
            long returned = IntStream.range(0, 1_000)
                    .filter(i -> stickyReplicas.replicaOf(at, 2 + 4L * i, 9) == 2)
                    .count();
            assertEquals(1_000 * s / 20, returned, 60, "after " + s + " s");
        }
        assertEquals(
                List.of(3L),
                stickyReplicas.replicasChanged(NOW + 40 * S, caches(2, 0)).stream()
                        .filter(id -> id == 3)
                        .toList());
        assertEquals(0, stickyReplicas.assignedTo(3));
    }

    @Test
    void restartedCacheHoldsNothing() {
        BoundedStalenessReads reads =
                new BoundedStalenessReads(NOW, 0, 0, new FixedMembershipView(), (to, bytes) -> {});
        reads.replicasChanged(NOW, List.of(new Replica(1, false, 1, 0)));
        reads.responseServed(NOW, new ReadHint(0, 5, 8, true), 9, 0, 1, NOW);
        StalenessBound bound = reads.boundOf(NOW, new ReadHint(0, 5, 8, false), S, S, 0);
        assertEquals(1, reads.preferredReplica(NOW, new ReadHint(0, 5, 8, false), 9, 0, List.of(1L), bound));
        reads.replicasChanged(NOW + 1, List.of(new Replica(1, false, 1, NOW)));
        assertEquals(0, reads.preferredReplica(NOW + 1, new ReadHint(0, 5, 0, false), 9, 0, List.of(1L), bound));
        assertEquals(0, reads.stickyReplicas());
    }

    // ---------------------------------------------------------------- gossip

    /** Two routers in virtual time; messages arrive in order at the end of each step. */
    private static final class RouterPair {
        final ArrayDeque<Runnable> messagesInFlight = new ArrayDeque<>();
        final BoundedStalenessReads[] routers = new BoundedStalenessReads[2];
        long now = NOW;
        int sent;
        long clockOffset;

        long clock(int router) {
            return now + (router == 1 ? clockOffset : 0);
        }

        void start(int router) {
            routers[router] = new BoundedStalenessReads(
                    clock(router), router, 0, new FixedMembershipView(List.of(1 - router)), (to, bytes) -> {
                        assertTrue(bytes.length <= 256 && bytes[0] == (byte) 0xe2);
                        sent++;
                        messagesInFlight.add(() -> routers[to].messageReceived(clock(to), router, bytes));
                    });
            routers[router].replicasChanged(clock(router), caches(4, 0));
        }

        void run(long us) {
            for (long end = now + us; now < end; now += 50 * MS) {
                for (int router = 0; router < 2; router++) {
                    routers[router].discoveryHeard(clock(router));
                    if (clock(router) >= routers[router].due()) {
                        routers[router].tick(clock(router));
                    }
                }
                now += 10 * MS;
                while (!messagesInFlight.isEmpty()) {
                    messagesInFlight.remove().run();
                }
            }
        }
    }

    @Test
    void restartedRouterLearnsReplicasStickyReplicasAndClockFromPeer() {
        RouterPair pair = new RouterPair();
        pair.clockOffset = -400 * MS;
        pair.start(0);
        pair.start(1);
        pair.run(S);
        pair.routers[1].responseReceived(pair.clock(1), pair.clock(1) + 4 * MS, pair.clock(1) + 700 * MS, true);
        for (int i = 0; i < 300; i++) {
            pair.routers[1].responseServed(pair.clock(1), new ReadHint(0, 5, 100 + i, true), 1 + i, 0, 1 + i % 4, NOW);
            pair.run(60 * MS);
        }
        pair.start(0);
        assertEquals(0, pair.routers[0].stickyReplicas());
        pair.run(6 * S);
        assertEquals(300, pair.routers[0].stickyReplicas());
        ReadHint hint = new ReadHint(0, NOW / MS, 100 + 17, true);
        StalenessBound bound = pair.routers[0].boundOf(pair.now, hint, 900 * S, S, 0);
        assertEquals(
                1 + 17 % 4, pair.routers[0].preferredReplica(pair.now, hint, 18, 0, List.of(4L, 3L, 2L, 1L), bound));
        assertTrue(pair.routers[0].mayBeAcceptable(pair.now, 18, 0, 1 + 17 % 4, bound));
        long error = pair.routers[0].clockUncertaintyUs(pair.now);
        assertTrue(error >= 0 && error < 100 * MS, "uncertainty of the origin's clock: " + error + " us");
        // Router 1's clock is 400 ms behind that of router 0, and the origin's 700 ms ahead of router 1's.
        StalenessBound young = pair.routers[0].boundOf(pair.now, new ReadHint(1_000 * MS, 0, 0, false), 900 * S, S, 0);
        assertTrue(
                young.oldestAcceptableUs() >= pair.now + 300 * MS - 1_000 * MS,
                "the bound is at least as strict as the exact one");
    }

    @Test
    void gossipPerTickIsBounded() {
        RouterPair pair = new RouterPair();
        pair.start(0);
        pair.start(1);
        pair.run(5 * S);
        pair.sent = 0;
        for (int i = 0; i < 50_000; i++) {
            pair.routers[0].responseServed(pair.now, new ReadHint(0, 5, 1 + i, true), 1 + i, 0, 1 + i % 4, NOW + i);
        }
        for (int tick = 0; tick < 40; tick++) {
            pair.sent = 0;
            pair.run(ReplicaGossip.TICK_US);
            assertTrue(
                    pair.sent <= 2 * (ReplicaGossip.MAX_DATAGRAMS_PER_TICK + 2),
                    pair.sent + " datagrams in a tick of two routers");
        }
    }

    @Test
    void eachReplicaMessageGoesToFourRoutersInTurn() {
        List<Integer> peers = IntStream.rangeClosed(1, 20).boxed().toList();
        Map<Integer, Integer> messagesByReceiver = new HashMap<>();
        int[] maxReceivers = new int[1];
        Map<String, Integer> replicas = new HashMap<>();
        BoundedStalenessReads reads =
                new BoundedStalenessReads(NOW, 0, 0, new FixedMembershipView(peers), (to, bytes) -> {
                    messagesByReceiver.merge(to, 1, Integer::sum);
                    maxReceivers[0] = Math.max(
                            maxReceivers[0],
                            bytes[2] == 1 ? replicas.merge(Arrays.toString(bytes), 1, Integer::sum) : 0);
                });
        for (int i = 0; i < 90; i++) {
            reads.responseServed(NOW, new ReadHint(0, 5, 0, true), 1 + i, 0, 1 + i % 4, NOW + i);
        }
        for (int tick = 0; tick < 20; tick++) {
            reads.tick(NOW + tick * ReplicaGossip.TICK_US);
        }
        assertEquals(ReplicaGossip.RECEIVERS_PER_MESSAGE, maxReceivers[0]);
        assertEquals(10, replicas.size());
        assertEquals(20, messagesByReceiver.size(), "every router is reached in turn");
    }

    @Test
    void malformedAndUnrequestedMessagesChangeNothing() {
        BoundedStalenessReads reads =
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
        all.forEach(bytes -> reads.messageReceived(NOW, 1, bytes));
        assertEquals(all.size(), reads.malformedMessages());
        assertEquals(0, reads.stickyReplicas());
        // A clock answer without a request.
        byte[] answer = java.nio.ByteBuffer.allocate(28)
                .put(ReplicaGossip.PROTOCOL_BYTE)
                .put((byte) 1)
                .put((byte) 4)
                .put((byte) 0)
                .putLong(NOW - S)
                .putLong(NOW)
                .putLong(NOW)
                .array();
        reads.messageReceived(NOW, 1, answer);
        assertEquals(-1, reads.clockUncertaintyUs(NOW));
    }
}
