package magpiewheel.routing;

import static magpiewheel.routing.RegionalFleetWorld.MS;
import static magpiewheel.routing.RegionalFleetWorld.OVERDUE_US;
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
 * Elected parents as the module asks them: several routers in virtual time, judged by what stand-ins and clients saw.
 */
class RegionalFleetTest {
    private static final long LED = 10 * SECOND;
    private static final long EVERY = 50 * MS;

    /** Mean origin fetches a part over some seeds, led or as now, with an origin that is now quick and now slow. */
    private static double fetchesAPart(boolean led, long unevenUs, int seeds) {
        double mean = 0;
        for (int seed = 2; seed < 2 + seeds; seed++) {
            RegionalFleetWorld world = new RegionalFleetWorld(seed, led, 4, 0);
            world.unevenUs = unevenUs;
            world.wanted(0, LED + 3 * SECOND, EVERY, 20 * MS);
            world.runTo(LED + 7 * SECOND);
            double each = world.fetchesAPart(LED, LED + 3 * SECOND, EVERY);
            mean += each / seeds;
            assertTrue(!led || each <= 1.05, "seed " + seed + ": " + each);
            assertEquals(world.asked, world.answers.size());
            assertTrue(led ? world.leader() > RegionalFleetWorld.PARENTS : world.leader() == -1, "seed " + seed);
        }
        return mean;
    }

    /** With parents alike the pick of two is the same at all fronts, since it is drawn by object; else it is not. */
    @Test
    void anObjectWantedInFourBranchesLeavesTheOriginOnce() {
        double even = fetchesAPart(false, 0, 1);
        double led = fetchesAPart(true, 200 * MS, 3);
        double asNow = fetchesAPart(false, 200 * MS, 3);
        System.out.printf(
                "at the module: origin fetches a part: led %.3f, as now %.3f (%.3f with an even origin)%n",
                led, asNow, even);
        assertTrue(asNow > 1.05, "as now " + asNow);
    }

    private static RegionalFleetWorld busy(long seed, long until) {
        RegionalFleetWorld world = new RegionalFleetWorld(seed, true, 4, 0);
        world.wanted(0, until, EVERY, 20 * MS);
        world.runTo(LED);
        assertTrue(world.leader() > RegionalFleetWorld.PARENTS, "seed " + seed + ": nobody leads");
        return world;
    }

    private static void allAnswered(RegionalFleetWorld world) {
        assertEquals(world.asked, world.answers.size());
        assertEquals(0, world.answers("failed", 0, Long.MAX_VALUE));
    }

    @Test
    void aLeaderThatDrainsOrIsGoneIsNamedNoMoreAndReplaced() {
        for (EndpointState state : new EndpointState[] {EndpointState.DRAINING, EndpointState.REMOVED}) {
            RegionalFleetWorld world = busy(7, LED + 4 * SECOND);
            long before = world.leader();
            long[] told = world.becomes(before, state);
            world.runTo(LED + 2 * SECOND);
            long after = world.leader();
            assertTrue(
                    after > RegionalFleetWorld.PARENTS && after != before,
                    state + ": " + after + " leads after " + before);
            world.runTo(LED + 8 * SECOND);
            assertEquals(
                    0,
                    world.sent.stream()
                            .filter(s -> s.at() > told[s.front()] && (s.node() == before || s.source() == before))
                            .count());
            assertTrue(world.sent.stream()
                            .filter(s -> s.at() > LED + 2 * SECOND && s.source() == after)
                            .count()
                    > 20);
            allAnswered(world);
        }
    }

    @Test
    void aHungLeaderIsReplacedWithinASecondOfItsFirstOverdueAnswer() {
        long worst = 0;
        for (int seed = 1; seed <= 5; seed++) {
            RegionalFleetWorld world = busy(seed, LED + 4 * SECOND);
            long hung = world.leader();
            world.hangs(hung);
            long[] replacedAt = {0};
            world.net.every(LED, 5 * MS, () -> {
                long leads = world.leader();
                replacedAt[0] = replacedAt[0] == 0 && leads > RegionalFleetWorld.PARENTS && leads != hung
                        ? world.net.now
                        : replacedAt[0];
            });
            world.runTo(LED + 4 * SECOND);
            // The first that was asked so late that it may lack its answer: its cache asks a millisecond later.
            long first = world.sent.stream()
                    .filter(s -> s.source() == hung && s.at() >= LED - MS)
                    .findFirst()
                    .get()
                    .at();
            long after = replacedAt[0] - first - OVERDUE_US;
            assertTrue(replacedAt[0] > 0 && after <= SECOND, "seed " + seed + ": " + hung + " replaced after " + after);
            worst = Math.max(worst, after);
            world.runTo(LED + 8 * SECOND);
            allAnswered(world);
        }
        System.out.printf(
                "at the module: hung leader, first overdue answer to all holding to another, worst %d ms%n",
                worst / MS);
    }

    @Test
    void withoutAMajorityThereIsNoLeaderAndFillsGoTheOldWay() {
        RegionalFleetWorld world = busy(3, LED + 6 * SECOND);
        world.halves(true);
        world.runTo(LED + 2 * SECOND);
        long led = 0;
        for (int front = 0; front < RegionalFleetWorld.FRONTS; front++) {
            assertEquals(RouteReason.NO_LEASE.ordinal(), world.figure(front, "region_verdict"));
            led += world.figure(front, "region_led");
        }
        world.runTo(LED + 4 * SECOND);
        for (int front = 0; front < RegionalFleetWorld.FRONTS; front++) {
            led -= world.figure(front, "region_led");
        }
        assertEquals(0, led);
        List<RegionalFleetWorld.Sent> since = world.sent.stream()
                .filter(s -> s.at() > LED + 2 * SECOND && s.source() > RegionalFleetWorld.PARENTS)
                .toList();
        assertTrue(since.size() > 100
                && since.stream()
                                .map(RegionalFleetWorld.Sent::source)
                                .distinct()
                                .count()
                        > 2);
        world.halves(false);
        world.runTo(LED + 9 * SECOND);
        assertTrue(world.leader() > RegionalFleetWorld.PARENTS);
        allAnswered(world);
    }

    /**
     * Four hundred objects that nobody holds are wanted in one branch in a second, and twice more; the origin bears one
     * transfer at once.
     */
    private static RegionalFleetWorld cold(boolean led) {
        RegionalFleetWorld world = new RegionalFleetWorld(1, led, 4, 1);
        world.runTo(LED);
        for (int i = 0; i < 400; i++) {
            int front = i % 2;
            long object = RegionalFleetWorld.object(LED + i);
            for (int again = 0; again < 3; again++) {
                world.net.at(LED + again * SECOND + i * SECOND / 400, () -> world.ask(front, object));
            }
        }
        world.runTo(LED + 7 * SECOND);
        assertEquals(world.asked, world.answers.size());
        return world;
    }

    @Test
    void aColdBranchIsFilledAtThePaceThatTheOriginBearsAndTheRestIsRefusedAtOnce() {
        RegionalFleetWorld world = cold(true);
        // A hundred a second for all routers, and a fifth of that saved up.
        long most = 120;
        assertTrue(
                mostASecond(world) <= most && world.fetches.size() > 60,
                mostASecond(world) + " of " + world.fetches.size());
        assertEquals(
                world.asked, world.answers("served", 0, Long.MAX_VALUE) + world.answers("refused", 0, Long.MAX_VALUE));
        assertTrue(world.answers("refused", 0, Long.MAX_VALUE) > 250);
        assertEquals(
                0,
                world.answers.stream()
                        .filter(a -> a.how().equals("refused") && a.tookUs() > 10 * MS)
                        .count());
        assertTrue(world.figure(0, "region_paced") > 0);
        assertTrue(mostASecond(cold(false)) > 2 * most);
    }

    private static long mostASecond(RegionalFleetWorld world) {
        return world.fetchedAt.stream()
                .mapToLong(at -> world.fetchedAt.stream()
                        .filter(o -> o >= at && o < at + SECOND)
                        .count())
                .max()
                .orElse(0);
    }

    // ---------------------------------------------------------------- off means off

    private static List<EndpointInfo> threeCachesAndParents() {
        List<EndpointInfo> list = new ArrayList<>();
        for (long id = 1; id <= 3; id++) {
            list.add(EndpointInfo.builder(id, 0, 0).build());
            list.add(EndpointInfo.builder(RegionalFleetWorld.PARENTS + id, 1, RegionalFleetWorld.HUB)
                    .build());
        }
        list.add(EndpointInfo.builder(RegionalFleetWorld.ORIGIN, 2, RegionalFleetWorld.HUB)
                .build());
        return list;
    }

    /**
     * What a router does that is asked the same for a while, with each answer taken as it comes; it hears of nobody.
     */
    private static List<String> alone(RoutingSettings settings, boolean regions, boolean oddMessages) {
        RecordingActions router = new RecordingActions();
        long now = 1_800_000_000_000_000L;
        RequestRouter rules = new RequestRouter(
                settings,
                5,
                router,
                settings.topology().membershipConfig(0, 50 * MS, now / MS, false),
                regions ? settings.regionConfig(now / MS, 0) : null,
                false);
        rules.endpointsChanged(now, EndpointListMode.CACHED, threeCachesAndParents());
        rules.setServing(now, true);
        SplittableRandom random = new SplittableRandom(9);
        int timers = 0;
        List<long[]> due = new ArrayList<>();
        for (int id = 1; id <= 300; id++) {
            now += 20 * MS;
            for (; timers < router.calls.size(); timers++) {
                String[] words = router.calls.get(timers).split(" ");
                if (words[0].equals("timer")) {
                    due.add(new long[] {Long.parseLong(words[1]), Long.parseLong(words[2])});
                }
            }
            long at = now;
            List<long[]> ripe = due.stream().filter(t -> t[0] <= at).toList();
            due.removeAll(ripe);
            ripe.stream().sorted(Comparator.comparingLong(t -> t[0])).forEach(t -> rules.timerExpired(at, t[1]));
            if (oddMessages && id % 10 == 0) {
                byte[] message = new byte[68 + id % 100];
                message[0] = (byte) 0xe1;
                message[1] = (byte) (1 + id / 10 % 4);
                rules.peerMessageReceived(now, 1 + id % 7, message);
            }
            rules.requestArrived(
                    now,
                    RoutingRequest.builder(id, 0, 1 + random.nextInt(80))
                            .group(5)
                            .sizeKb(100)
                            .build());
            RecordingActions.StartedAttempt sent = router.lastAttempt();
            if (sent.request() == id) {
                rules.attemptEnded(
                        now,
                        AttemptOutcome.builder(id, 0, sent.node(), AttemptResult.OK)
                                .durationUs(20 * MS + random.nextLong(600 * MS))
                                .requestCompleted(true)
                                .cacheStatus(random.nextBoolean() ? CacheStatus.FILLED : CacheStatus.HIT)
                                .firstByteUs(10 * MS)
                                .build());
            }
        }
        return router.calls;
    }

    /**
     * Seen with processes: a front that nobody hears wanted to propose at once, again and again, and did nothing else.
     */
    @Test
    void aRouterThatNobodyHearsIsNotWokenWithoutEnd() {
        RecordingActions router = new RecordingActions();
        long start = 1_800_000_000_000_000L;
        RoutingSettings settings = RegionalFleetWorld.settings(0);
        RequestRouter rules = new RequestRouter(
                settings,
                5,
                router,
                settings.topology().membershipConfig(0, 50 * MS, start / MS, false),
                settings.regionConfig(start / MS, 0),
                false);
        rules.endpointsChanged(
                start,
                EndpointListMode.CACHED,
                List.of(
                        EndpointInfo.builder(1, 0, 0).build(),
                        EndpointInfo.builder(101, 1, RegionalFleetWorld.HUB).build()));
        PriorityQueue<long[]> due = new PriorityQueue<>(Comparator.comparingLong(t -> t[0]));
        int read = 0;
        int woken = 0;
        long now = start;
        while (now < start + 5 * SECOND) {
            for (; read < router.calls.size(); read++) {
                String[] words = router.calls.get(read).split(" ");
                if (words[0].equals("timer")) {
                    due.add(new long[] {Long.parseLong(words[1]), Long.parseLong(words[2])});
                }
            }
            now = Math.max(now, due.peek()[0]);
            rules.timerExpired(now, due.poll()[1]);
            assertTrue(++woken < 4_000, "woken " + woken + " times in " + (now - start) + " us");
        }
        assertEquals(RouteReason.ISOLATED.ordinal(), rules.statistics(now).get("region_verdict"));
    }

    private static List<String> decisions(List<String> all) {
        return all.stream()
                .filter(line -> !line.startsWith("timer") && !line.startsWith("tell"))
                .toList();
    }

    @Test
    void whereRegionsAreOffOrNobodyIsHeardEveryPlanIsAsBefore() {
        RoutingSettings on = RegionalFleetWorld.settings(0);
        RequestLimits quiet = RequestLimits.builder(6)
                .mayCancel(true)
                .maySendRetryAfter(true)
                .maxInFlight(20_000)
                .maxRetryAfterUs(SECOND)
                .connectTimeoutUs(400 * MS)
                .build();
        RoutingSettings noPeers = RoutingSettings.builder(on.topology(), on.requestClasses(), quiet, on.safetyLimits())
                .tenants(on.tenants())
                .overQuotaPriorityWeight(0)
                .siblingFills(on.siblingFills())
                .cachesJoinFills(true)
                .detailedCacheStatus(true)
                .weightSource(on.weightSource())
                .loadMetrics(on.loadMetrics())
                .build();
        List<String> off = alone(on, false, false);
        assertEquals(off, alone(on, false, true));
        assertEquals(decisions(off), decisions(alone(on, true, false)));
        assertEquals(alone(noPeers, false, false), alone(noPeers, true, false));
        assertNull(noPeers.regionConfig(1, 0));
    }
}
