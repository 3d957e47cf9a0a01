package magpiewheel.routing;

import static magpiewheel.routing.RegionalFleetWorld.MS;
import static magpiewheel.routing.RegionalFleetWorld.RESPONSE_OVERDUE_US;
import static magpiewheel.routing.RegionalFleetWorld.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import magpiewheel.region.RouteReason;
import org.junit.jupiter.api.Test;

/**
 * Fills through the elected leader of a region's parents: several routers in virtual time, checked by what the
 * simulated endpoints and clients observe.
 */
class RegionalFleetTest {
    /** A time by which the routers have elected a leader. */
    private static final long LEADER_ELECTED_US = 10 * SECOND;

    private static final long REQUEST_INTERVAL_US = 50 * MS;

    /**
     * Returns the mean number of origin fetches per requested object over some seeds, with or without regions. The
     * origin's response time varies by an exponentially distributed time of this mean, us.
     */
    private static double meanOriginFetchesPerObject(boolean regionsEnabled, long meanExtraOriginUs, int seeds) {
        double mean = 0;
        for (int seed = 2; seed < 2 + seeds; seed++) {
            RegionalFleetWorld world = new RegionalFleetWorld(seed, regionsEnabled, 4, 0);
            world.meanExtraOriginUs = meanExtraOriginUs;
            world.scheduleRequests(0, LEADER_ELECTED_US + 3 * SECOND, REQUEST_INTERVAL_US, 20 * MS);
            world.runTo(LEADER_ELECTED_US + 7 * SECOND);
            double fetches = world.originFetchesPerObject(
                    LEADER_ELECTED_US, LEADER_ELECTED_US + 3 * SECOND, REQUEST_INTERVAL_US);
            mean += fetches / seeds;
            assertTrue(
                    !regionsEnabled || fetches <= 1.05, "seed " + seed + ": " + fetches + " origin fetches per object");
            assertEquals(world.requestCount, world.answers.size());
            assertTrue(
                    regionsEnabled
                            ? world.agreedLeader() > RegionalFleetWorld.PARENT_ID_OFFSET
                            : world.agreedLeader() == -1,
                    "seed " + seed + ": no leader with regions, or one without");
        }
        return mean;
    }

    /**
     * Without regions each router chooses the better of two parents that are drawn by object: with equal parents all
     * routers choose the same one, with unequal response times they do not, and the origin is asked more than once.
     */
    @Test
    void leaderReducesOriginFetchesToOnePerObject() {
        double withoutRegionsSteadyOrigin = meanOriginFetchesPerObject(false, 0, 1);
        double withRegions = meanOriginFetchesPerObject(true, 200 * MS, 3);
        double withoutRegions = meanOriginFetchesPerObject(false, 200 * MS, 3);
        System.out.printf(
                "at the module: origin fetches a part: led %.3f, as now %.3f (%.3f with an even origin)%n",
                withRegions, withoutRegions, withoutRegionsSteadyOrigin);
        assertTrue(withoutRegions > 1.05, "origin fetches per object without regions: " + withoutRegions);
    }

    private static RegionalFleetWorld worldWithLeader(long seed, long untilUs) {
        RegionalFleetWorld world = new RegionalFleetWorld(seed, true, 4, 0);
        world.scheduleRequests(0, untilUs, REQUEST_INTERVAL_US, 20 * MS);
        world.runTo(LEADER_ELECTED_US);
        assertTrue(world.agreedLeader() > RegionalFleetWorld.PARENT_ID_OFFSET, "seed " + seed + ": no agreed leader");
        return world;
    }

    private static void assertAllServedOrRejected(RegionalFleetWorld world) {
        assertEquals(world.requestCount, world.answers.size());
        assertEquals(0, world.answers("failed", 0, Long.MAX_VALUE));
    }

    @Test
    void drainingOrRemovedLeaderIsReplaced() {
        for (EndpointState state : new EndpointState[] {EndpointState.DRAINING, EndpointState.REMOVED}) {
            RegionalFleetWorld world = worldWithLeader(7, LEADER_ELECTED_US + 4 * SECOND);
            long oldLeader = world.agreedLeader();
            long[] appliedAtUs = world.changeState(oldLeader, state);
            world.runTo(LEADER_ELECTED_US + 2 * SECOND);
            long newLeader = world.agreedLeader();
            assertTrue(
                    newLeader > RegionalFleetWorld.PARENT_ID_OFFSET && newLeader != oldLeader,
                    state + ": " + newLeader + " leads after " + oldLeader);
            world.runTo(LEADER_ELECTED_US + 8 * SECOND);
            assertEquals(
                    0,
                    world.attempts.stream()
                            .filter(s -> s.atUs() > appliedAtUs[s.router()]
                                    && (s.node() == oldLeader || s.fillSource() == oldLeader))
                            .count());
            assertTrue(world.attempts.stream()
                            .filter(s -> s.atUs() > LEADER_ELECTED_US + 2 * SECOND && s.fillSource() == newLeader)
                            .count()
                    > 20);
            assertAllServedOrRejected(world);
        }
    }

    @Test
    void hungLeaderIsReplacedWithinOneSecondOfFirstOverdueResponse() {
        long worstUs = 0;
        for (int seed = 1; seed <= 5; seed++) {
            RegionalFleetWorld world = worldWithLeader(seed, LEADER_ELECTED_US + 4 * SECOND);
            long hungLeader = world.agreedLeader();
            world.hang(hungLeader);
            long[] replacedAtUs = {0};
            world.net.every(LEADER_ELECTED_US, 5 * MS, () -> {
                long leader = world.agreedLeader();
                replacedAtUs[0] =
                        replacedAtUs[0] == 0 && leader > RegionalFleetWorld.PARENT_ID_OFFSET && leader != hungLeader
                                ? world.net.now
                                : replacedAtUs[0];
            });
            world.runTo(LEADER_ELECTED_US + 4 * SECOND);
            // The first request that can be left unanswered: a cache contacts its fill source 1 ms after the attempt.
            long firstRequestUs = world.attempts.stream()
                    .filter(s -> s.fillSource() == hungLeader && s.atUs() >= LEADER_ELECTED_US - MS)
                    .findFirst()
                    .get()
                    .atUs();
            long delayUs = replacedAtUs[0] - firstRequestUs - RESPONSE_OVERDUE_US;
            assertTrue(
                    replacedAtUs[0] > 0 && delayUs <= SECOND,
                    "seed " + seed + ": " + hungLeader + " replaced after " + delayUs + " us");
            worstUs = Math.max(worstUs, delayUs);
            world.runTo(LEADER_ELECTED_US + 8 * SECOND);
            assertAllServedOrRejected(world);
        }
        System.out.printf(
                "at the module: hung leader, first overdue answer to all holding to another, worst %d ms%n",
                worstUs / MS);
    }

    @Test
    void withoutMajorityThereIsNoLeaderAndFillsUseSeveralParents() {
        RegionalFleetWorld world = worldWithLeader(3, LEADER_ELECTED_US + 6 * SECOND);
        world.partition(true);
        world.runTo(LEADER_ELECTED_US + 2 * SECOND);
        long ledFills = 0;
        for (int router = 0; router < RegionalFleetWorld.ROUTERS; router++) {
            assertEquals(RouteReason.NO_LEASE.ordinal(), world.statistic(router, "region_verdict"));
            ledFills += world.statistic(router, "region_led");
        }
        world.runTo(LEADER_ELECTED_US + 4 * SECOND);
        for (int router = 0; router < RegionalFleetWorld.ROUTERS; router++) {
            ledFills -= world.statistic(router, "region_led");
        }
        assertEquals(0, ledFills);
        List<RegionalFleetWorld.StartedAttempt> attemptsWithoutLeader = world.attempts.stream()
                .filter(s -> s.atUs() > LEADER_ELECTED_US + 2 * SECOND
                        && s.fillSource() > RegionalFleetWorld.PARENT_ID_OFFSET)
                .toList();
        assertTrue(attemptsWithoutLeader.size() > 100
                && attemptsWithoutLeader.stream()
                                .map(RegionalFleetWorld.StartedAttempt::fillSource)
                                .distinct()
                                .count()
                        > 2);
        world.partition(false);
        world.runTo(LEADER_ELECTED_US + 9 * SECOND);
        assertTrue(world.agreedLeader() > RegionalFleetWorld.PARENT_ID_OFFSET);
        assertAllServedOrRejected(world);
    }

    /**
     * Returns a world in which one zone requested 400 objects that are in no cache within a second, and again in each
     * of the next two seconds. The origin can carry one transfer at a time.
     */
    private static RegionalFleetWorld worldWithEmptyZone(boolean regionsEnabled) {
        RegionalFleetWorld world = new RegionalFleetWorld(1, regionsEnabled, 4, 1);
        world.runTo(LEADER_ELECTED_US);
        for (int i = 0; i < 400; i++) {
            int routerId = i % 2;
            long object = RegionalFleetWorld.objectRequestedAt(LEADER_ELECTED_US + i);
            for (int round = 0; round < 3; round++) {
                world.net.at(
                        LEADER_ELECTED_US + round * SECOND + i * SECOND / 400, () -> world.submit(routerId, object));
            }
        }
        world.runTo(LEADER_ELECTED_US + 7 * SECOND);
        assertEquals(world.requestCount, world.answers.size());
        return world;
    }

    @Test
    void emptyZoneIsFilledAtOriginPaceAndExcessIsRejectedAtOnce() {
        RegionalFleetWorld world = worldWithEmptyZone(true);
        // The routers together may start 100 origin fetches per second, with a burst of a fifth of that.
        long maxFetchesPerSecond = 120;
        assertTrue(
                peakOriginFetchesPerSecond(world) <= maxFetchesPerSecond && world.originFetchesByObject.size() > 60,
                peakOriginFetchesPerSecond(world) + " of " + world.originFetchesByObject.size());
        assertEquals(
                world.requestCount,
                world.answers("served", 0, Long.MAX_VALUE) + world.answers("rejected", 0, Long.MAX_VALUE));
        assertTrue(world.answers("rejected", 0, Long.MAX_VALUE) > 250);
        assertEquals(
                0,
                world.answers.stream()
                        .filter(a -> a.outcome().equals("rejected") && a.durationUs() > 10 * MS)
                        .count());
        assertTrue(world.statistic(0, "region_paced") > 0);
        assertTrue(peakOriginFetchesPerSecond(worldWithEmptyZone(false)) > 2 * maxFetchesPerSecond);
    }

    private static long peakOriginFetchesPerSecond(RegionalFleetWorld world) {
        return world.originFetchTimesUs.stream()
                .mapToLong(at -> world.originFetchTimesUs.stream()
                        .filter(o -> o >= at && o < at + SECOND)
                        .count())
                .max()
                .orElse(0);
    }

    // ---------------------------------------------------------------- regions off, or no peers

    private static List<EndpointInfo> threeCachesThreeParentsAndOrigin() {
        List<EndpointInfo> list = new ArrayList<>();
        for (long id = 1; id <= 3; id++) {
            list.add(EndpointInfo.builder(id, 0, 0).build());
            list.add(EndpointInfo.builder(RegionalFleetWorld.PARENT_ID_OFFSET + id, 1, RegionalFleetWorld.HUB_ZONE)
                    .build());
        }
        list.add(EndpointInfo.builder(RegionalFleetWorld.ORIGIN, 2, RegionalFleetWorld.HUB_ZONE)
                .build());
        return list;
    }

    /**
     * Returns the actions of a router without peers that gets a fixed sequence of requests, each attempt of which
     * succeeds at once. With {@code withRegionMessages} it also receives region messages of all types that are filled
     * with zeros.
     */
    private static List<String> callsOfIsolatedRouter(
            RoutingSettings settings, boolean regionsEnabled, boolean withRegionMessages) {
        RecordingActions actions = new RecordingActions();
        long nowUs = 1_800_000_000_000_000L;
        RequestRouter router = new RequestRouter(
                settings,
                5,
                actions,
                settings.topology().membershipConfig(0, 50 * MS, nowUs / MS, false),
                regionsEnabled ? settings.regionConfig(nowUs / MS, 0) : null,
                false);
        router.endpointsChanged(nowUs, EndpointListMode.CACHED, threeCachesThreeParentsAndOrigin());
        router.setServing(nowUs, true);
        SplittableRandom random = new SplittableRandom(9);
        int callsRead = 0;
        List<long[]> timers = new ArrayList<>();
        for (int id = 1; id <= 300; id++) {
            nowUs += 20 * MS;
            for (; callsRead < actions.calls.size(); callsRead++) {
                String[] words = actions.calls.get(callsRead).split(" ");
                if (words[0].equals("setTimer")) {
                    timers.add(new long[] {Long.parseLong(words[1]), Long.parseLong(words[2])});
                }
            }
            long atUs = nowUs;
            List<long[]> expired = timers.stream().filter(t -> t[0] <= atUs).toList();
            timers.removeAll(expired);
            expired.stream().sorted(Comparator.comparingLong(t -> t[0])).forEach(t -> router.timerExpired(atUs, t[1]));
            if (withRegionMessages && id % 10 == 0) {
                byte[] message = new byte[68 + id % 100];
                message[0] = (byte) 0xe1;
                message[1] = (byte) (1 + id / 10 % 4);
                router.peerMessageReceived(nowUs, 1 + id % 7, message);
            }
            router.requestArrived(
                    nowUs,
                    RoutingRequest.builder(id, 0, 1 + random.nextInt(80))
                            .group(5)
                            .sizeKb(100)
                            .build());
            RecordingActions.StartedAttempt attempt = actions.lastAttempt();
            if (attempt.request() == id) {
                router.attemptEnded(
                        nowUs,
                        AttemptOutcome.builder(id, 0, attempt.node(), AttemptResult.OK)
                                .durationUs(20 * MS + random.nextLong(600 * MS))
                                .requestCompleted(true)
                                .cacheStatus(random.nextBoolean() ? CacheStatus.FILLED : CacheStatus.HIT)
                                .firstByteUs(10 * MS)
                                .build());
            }
        }
        return actions.calls;
    }

    /**
     * Guards against a fault seen with real processes: a router without peers proposed itself again at once whenever
     * its timer expired, and did nothing else.
     */
    @Test
    void isolatedRouterDoesNotSpinOnItsTimers() {
        RecordingActions actions = new RecordingActions();
        long startUs = 1_800_000_000_000_000L;
        RoutingSettings settings = RegionalFleetWorld.settings(0);
        RequestRouter router = new RequestRouter(
                settings,
                5,
                actions,
                settings.topology().membershipConfig(0, 50 * MS, startUs / MS, false),
                settings.regionConfig(startUs / MS, 0),
                false);
        router.endpointsChanged(
                startUs,
                EndpointListMode.CACHED,
                List.of(
                        EndpointInfo.builder(1, 0, 0).build(),
                        EndpointInfo.builder(101, 1, RegionalFleetWorld.HUB_ZONE)
                                .build()));
        PriorityQueue<long[]> timers = new PriorityQueue<>(Comparator.comparingLong(t -> t[0]));
        int callsRead = 0;
        int expirations = 0;
        long nowUs = startUs;
        while (nowUs < startUs + 5 * SECOND) {
            for (; callsRead < actions.calls.size(); callsRead++) {
                String[] words = actions.calls.get(callsRead).split(" ");
                if (words[0].equals("setTimer")) {
                    timers.add(new long[] {Long.parseLong(words[1]), Long.parseLong(words[2])});
                }
            }
            nowUs = Math.max(nowUs, timers.peek()[0]);
            router.timerExpired(nowUs, timers.poll()[1]);
            assertTrue(++expirations < 4_000, expirations + " timers expired in " + (nowUs - startUs) + " us");
        }
        assertEquals(RouteReason.ISOLATED.ordinal(), router.statistics(nowUs).get("region_verdict"));
    }

    private static List<String> withoutTimersAndPeerMessages(List<String> calls) {
        return calls.stream()
                .filter(line -> !line.startsWith("setTimer") && !line.startsWith("sendToPeer"))
                .toList();
    }

    @Test
    void regionsDoNotChangeDecisionsOfAnIsolatedRouter() {
        RoutingSettings settings = RegionalFleetWorld.settings(0);
        RequestLimits limitsWithoutPeers = RequestLimits.builder(6)
                .mayCancel(true)
                .maySendRetryAfter(true)
                .maxInFlight(20_000)
                .maxRetryAfterUs(SECOND)
                .connectTimeoutUs(400 * MS)
                .build();
        RoutingSettings settingsWithoutPeers = RoutingSettings.builder(
                        settings.topology(), settings.requestClasses(), limitsWithoutPeers, settings.safetyLimits())
                .tenants(settings.tenants())
                .overQuotaPriorityWeight(0)
                .siblingFills(settings.siblingFills())
                .cachesJoinFills(true)
                .detailedCacheStatus(true)
                .weightSource(settings.weightSource())
                .loadMetrics(settings.loadMetrics())
                .build();
        List<String> callsWithoutRegions = callsOfIsolatedRouter(settings, false, false);
        assertEquals(callsWithoutRegions, callsOfIsolatedRouter(settings, false, true));
        assertEquals(
                withoutTimersAndPeerMessages(callsWithoutRegions),
                withoutTimersAndPeerMessages(callsOfIsolatedRouter(settings, true, false)));
        assertEquals(
                callsOfIsolatedRouter(settingsWithoutPeers, false, false),
                callsOfIsolatedRouter(settingsWithoutPeers, true, false));
        assertNull(settingsWithoutPeers.regionConfig(1, 0));
    }
}
