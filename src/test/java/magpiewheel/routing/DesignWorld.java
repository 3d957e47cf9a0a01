package magpiewheel.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeMap;
import java.util.stream.LongStream;
import magpiewheel.membership.HeartbeatMessages;
import magpiewheel.region.SlowStartProfile;
import magpiewheel.support.Fingerprint;

/**
 * One router's module with all that it meets, for rows of the design. Caches go by 1, 2, ..., parents by 101, 102, ...
 * (in rows by 1, 2, ...), the origin by 201; router 0 is this one. Timers are called when they are due, and each event
 * takes a millisecond.
 */
final class DesignWorld {
    static final long ORIGIN = 201;
    static final long MS = 1_000;
    static final long SECOND = 1_000 * MS;
    private static final int PARENTS = 100;
    private static final int READ = 0;
    private static final int WRITE = 1;
    private static final int UNSAFE_WRITE = 2;
    /** Requests among which every parent that is chosen at all is chosen. */
    private static final int MANY = 10_000;

    final RecordingActions router = new RecordingActions();
    final Fingerprint actions = new Fingerprint();
    final Map<Long, EndpointInfo> list = new TreeMap<>();
    private final PriorityQueue<long[]> timers = new PriorityQueue<>(Comparator.comparingLong(t -> t[0]));
    private final Map<Long, Long> askedAt = new HashMap<>();
    private final Map<Long, List<RecordingActions.StartedAttempt>> sent = new HashMap<>();
    private int timersRead;
    private int sentRead;
    private RequestRouter rules;
    long now = 100 * SECOND;
    /** Settings. */
    boolean reachesOrigin = true;

    int here = 3;
    /** The object spoken of, the last request, and the one before. */
    long object;

    long last;
    long before;
    private long purgedAt;
    private int toldBefore;
    private long passed;
    Map<Long, RecordingActions.StartedAttempt> picks = Map.of();
    Map<Long, RecordingActions.StartedAttempt> picksBefore = Map.of();

    RoutingSettings settings(int me) {
        int elsewhere = 1;
        return RoutingSettings.builder(
                        RouterTopology.builder(me, here + elsewhere, 0)
                                .routersByZone(new int[] {here, elsewhere})
                                .hubByZone(new int[] {1, 1})
                                .linkKbPerSByZone(new double[] {100_000, 100_000})
                                .parentKind(1)
                                .originKind(2)
                                .transferKbPerS(10_000)
                                .build(),
                        List.of(
                                profile(Idempotency.IDEMPOTENT, false),
                                profile(Idempotency.KEYED, true),
                                profile(Idempotency.NOT_IDEMPOTENT, true)),
                        SimulatedSite.limits(6).build(),
                        SimulatedSite.safetyLimits(
                                new SlowStartProfile(0.2, 17 * SECOND, 2, 2 * SECOND),
                                new SlowStartProfile(0.1, 20 * SECOND, 2, 2 * SECOND)))
                .overQuotaPriorityWeight(0)
                .cachesJoinFills(true)
                .mayBypassCaches(reachesOrigin)
                .detailedCacheStatus(true)
                .build();
    }

    private static RequestClass profile(Idempotency effect, boolean write) {
        return RequestClass.builder(500 * MS, 3 * SECOND)
                .transferTimeFactor(2)
                .latePriorityWeight(0.2)
                .idempotency(effect)
                .idempotencyWindowUs(2 * SECOND)
                .write(write)
                .stalePriorityWeight(0.5)
                .build();
    }

    private RequestRouter rules() {
        if (rules == null) {
            RoutingActions actionsOut = new FingerprintedActions(router, actions, 0, () -> now);
            rules = new RequestRouter(
                    settings(0),
                    42,
                    actionsOut,
                    settings(0).topology().membershipConfig(0, 400 * MS, 1, false),
                    null,
                    false);
            rules.endpointsChanged(now, EndpointListMode.CACHED, List.copyOf(list.values()));
            collectTimers();
        }
        return rules;
    }

    // ---------------------------------------------------------------- what is given and happens

    void listed(long node, EndpointState state, long startedUs) {
        int kind = node == ORIGIN ? 2 : node > PARENTS ? 1 : 0;
        EndpointInfo member = EndpointInfo.builder(node, kind, kind == 0 ? 0 : 1)
                .startedUs(startedUs)
                .state(state)
                .build();
        if (state == EndpointState.READY) {
            list.put(node, member);
        } else {
            list.remove(node);
        }
        if (rules != null) {
            rules.endpointsChanged(now, EndpointListMode.DELTA, List.of(member));
            pass(MS);
        }
    }

    /** Time passes, and what is due is done at its time. */
    void pass(long us) {
        rules();
        long end = now + us;
        toldBefore = router.peerMessages.size();
        passed = us;
        for (collectTimers(); !timers.isEmpty() && timers.peek()[0] <= end; collectTimers()) {
            long[] due = timers.poll();
            now = Math.max(now, due[0]);
            rules.timerExpired(now, due[1]);
        }
        now = end;
    }

    private void collectTimers() {
        for (; timersRead < router.calls.size(); timersRead++) {
            String[] words = router.calls.get(timersRead).split(" ");
            if (words[0].equals("timer")) {
                timers.add(new long[] {Long.parseLong(words[1]), Long.parseLong(words[2])});
            }
        }
    }

    /** An object by its letter; those of another group follow it. */
    static long object(String letter) {
        return 1_000 + letter.charAt(0);
    }

    private static int group(long object) {
        return object >= object("N") && object <= object("Z") ? 6 : 5;
    }

    void ask(int profile, long of, int part, LocalCopy own) {
        before = last;
        object = of;
        askQuietly(++last, profile, of, part, own);
        pass(MS);
    }

    private void askQuietly(long id, int profile, long of, int part, LocalCopy own) {
        askedAt.put(id, now);
        rules().requestArrived(
                        now,
                        RoutingRequest.builder(id, profile, of)
                                .group(group(of))
                                .part(part)
                                .write(profile != READ)
                                .build(),
                        own);
    }

    void read(long of) {
        ask(READ, of, 0, null);
    }

    void part(long of, int part) {
        ask(READ, of, part, null);
    }

    void write(long of, boolean safe) {
        ask(safe ? WRITE : UNSAFE_WRITE, of, 0, null);
    }

    void readWithOwn(long of, long ageUs) {
        ask(READ, of, 0, new LocalCopy(ageUs, 100 * MS, 25 * MS));
    }

    /** The attempts of a request, in their order. */
    List<RecordingActions.StartedAttempt> sent(long id) {
        for (; sentRead < router.attempts.size(); sentRead++) {
            RecordingActions.StartedAttempt next = router.attempts.get(sentRead);
            sent.computeIfAbsent(next.request(), key -> new ArrayList<>()).add(next);
        }
        return sent.getOrDefault(id, List.of());
    }

    /** The last attempt of the last request; a request that was turned away has none. */
    RecordingActions.StartedAttempt it() {
        List<RecordingActions.StartedAttempt> sent = sent(last);
        assertTrue(!sent.isEmpty(), "no attempt went out");
        return sent.get(sent.size() - 1);
    }

    void answer(long id, AttemptResult result, CacheStatus note, long waitUs) {
        List<RecordingActions.StartedAttempt> sent = sent(id);
        if (sent.isEmpty()) {
            throw new IllegalStateException("nothing went out that could be answered");
        }
        rules().attemptEnded(
                        now,
                        AttemptOutcome.builder(
                                        id,
                                        sent.size() - 1,
                                        sent.get(sent.size() - 1).node(),
                                        result)
                                .durationUs(waitUs + 10 * MS)
                                .requestCompleted(result == AttemptResult.OK || result == AttemptResult.CANCELLED)
                                .cacheStatus(note)
                                .firstByteUs(waitUs)
                                .build());
    }

    void answer(AttemptResult result, CacheStatus note) {
        answer(last, result, note, 10 * MS);
        pass(MS);
    }

    /** Asks for objects one after another and takes each back, so that nothing is learnt of the answers. */
    void pick(int count) {
        picksBefore = picks;
        pick(LongStream.rangeClosed(1, count).map(i -> 10_000 + i).toArray());
    }

    void pick(long... objects) {
        Map<Long, RecordingActions.StartedAttempt> found = new LinkedHashMap<>();
        for (long each : objects) {
            askQuietly(++last, READ, each, 0, null);
            found.put(each, it());
            leave(last);
        }
        picks = found;
    }

    private void leave(long id) {
        rules().clientDisconnected(now, id);
        answer(id, AttemptResult.CANCELLED, CacheStatus.UNKNOWN, 0);
    }

    /** Asks until so many fills are out from a parent, takes the others back, and then answers those. */
    void fills(int count, long parent, long waitUs) {
        List<Long> open = new ArrayList<>();
        for (int i = 0; i < MANY && open.size() < count; i++) {
            askQuietly(++last, READ, 500_000 + last, 0, null);
            if (it().plan().fillSource() == parent) {
                open.add(last);
            } else {
                leave(last);
            }
        }
        if (open.size() < count) {
            throw new IllegalStateException("parent " + parent + " fills nothing");
        }
        open.forEach(id -> answer(id, AttemptResult.OK, CacheStatus.FILLED, waitUs));
        pass(MS);
    }

    /**
     * Other objects are asked for once each and filled, a fifth of a millisecond apart; one object again in between.
     */
    void scan(int count, long again, int every) {
        for (int i = 1; i <= count; i++) {
            askQuietly(++last, READ, 1_000_000 + i, 0, null);
            answer(last, AttemptResult.OK, CacheStatus.FILLED, 10 * MS);
            if (every > 0 && i % every == 0) {
                askQuietly(++last, READ, again, 0, null);
                answer(last, AttemptResult.OK, CacheStatus.HIT, 10 * MS);
            }
            pass(200);
        }
    }

    /** Asks for all these objects before any is answered. */
    void crowd() {
        Map<Long, RecordingActions.StartedAttempt> found = new LinkedHashMap<>();
        for (long each : List.copyOf(picks.keySet())) {
            askQuietly(++last, READ, each, 0, null);
            if (!sent(last).isEmpty()) {
                found.put(each, it());
            }
        }
        picksBefore = picks;
        picks = found;
    }

    void purge(long of, boolean group, long agoUs) {
        object = of;
        purgedAt = now - agoUs;
        rules().objectsPurged(now, new Purge(agoUs, group ? 0 : of, group(of)));
        pass(MS);
    }

    // ---------------------------------------------------------------- other routers

    /** From now on this router knows of another one. The one place that says how routers meet. */
    void meets(int sender) {
        rules().peerMessageReceived(
                        now, sender, HeartbeatMessages.fromServingMember(sender, here + 1, sender < here ? 0 : 1, now));
        hears(sender, now, List.of(), List.of());
    }

    /** A message from another router, sent at a time; the last router is in another location. */
    private void hears(int sender, long clock, List<EndpointLoad> loads, List<HolderHint> holders) {
        int zone = sender < here ? 0 : 1;
        double limit = 20;
        rules().peerMessageReceived(
                        now,
                        sender,
                        PeerMessageCodec.encode(new PeerMessage(zone, clock, 0, limit, 0, loads, List.of(), holders))
                                .get(0));
        pass(MS);
    }

    void holds(int sender, long clock, long node, long of, long ageUs) {
        object = of;
        hears(sender, clock, List.of(), List.of(new HolderHint(of, 0, node, group(of), (int) (ageUs / MS))));
    }

    void busy(int sender, long node, int inHand) {
        hears(sender, now, List.of(new EndpointLoad(node, inHand, 16)), List.of());
    }

    /** Messages that went out, from one of them on: to whom, and what. */
    private List<Map.Entry<Integer, PeerMessage>> told(int from) {
        List<String> lines =
                router.calls.stream().filter(line -> line.startsWith("tell ")).toList();
        assertEquals(lines.size(), router.peerMessages.size());
        List<Map.Entry<Integer, PeerMessage>> told = new ArrayList<>();
        for (int i = from; i < lines.size(); i++) {
            assertTrue(
                    router.peerMessages.get(i).length <= 256,
                    "a message of " + router.peerMessages.get(i).length + " bytes");
            PeerMessage message = PeerMessageCodec.decode(router.peerMessages.get(i));
            // The membership's messages are another matter.
            if (message != null) {
                told.add(Map.entry(Integer.parseInt(lines.get(i).split(" ")[1]), message));
            }
        }
        return told;
    }

    // ---------------------------------------------------------------- what must follow

    /** Where another router that knows nothing sends an object. */
    long hashed(long of) {
        RecordingActions seen = new RecordingActions();
        RequestRouter other = new RequestRouter(
                settings(1), 7, seen, settings(1).topology().membershipConfig(0, 400 * MS, 1, false), null, false);
        other.endpointsChanged(now, EndpointListMode.CACHED, List.copyOf(list.values()));
        other.requestArrived(
                now, RoutingRequest.builder(1, READ, of).group(group(of)).build());
        return seen.lastAttempt().node();
    }

    /** A node by its name. */
    long node(String name) {
        String[] words = name.split(" ");
        return switch (words[0] + (words.length > 1 ? " " + words[1] : "")) {
            case "the hashed" -> hashed(object);
            case "another cache" -> other(object);
            case "the origin" -> ORIGIN;
            default -> (words[0].equals("parent") ? PARENTS : 0) + Long.parseLong(words[1]);
        };
    }

    private long other(long of) {
        long hashed = hashed(of);
        return caches().stream().filter(cache -> cache > hashed).findFirst().orElse(caches().get(0));
    }

    List<Long> caches() {
        return list.keySet().stream().filter(node -> node < PARENTS).toList();
    }

    void goesTo(String name) {
        switch (name) {
            case "a cache" -> assertTrue(it().node() < PARENTS, "it went to " + it().node());
            case "the cache of the request before" ->
                assertEquals(sent(before).get(0).node(), it().node());
            default -> assertEquals(node(name), it().node());
        }
    }

    void filledFrom(String name) {
        long source = it().plan().fillSource();
        if (name.equals("a parent")) {
            assertTrue(source > PARENTS && source < ORIGIN, "it is filled from " + source);
        } else {
            assertEquals(node(name), source);
        }
    }

    void onlyCopiesSincePurge() {
        long since = askedAt.get(last) - purgedAt;
        long limit = it().plan().maxAgeUs();
        assertTrue(limit > 0 && limit <= since && limit > since - 5 * MS, "a limit of " + limit + " after " + since);
    }

    void untouched() {
        assertEquals(
                AttemptPlan.builder(it().plan().fillSource())
                        .deadlineUs(it().plan().deadlineUs())
                        .startByUs(it().plan().startByUs())
                        .build(),
                it().plan());
    }

    void onlyTo(int recipient) {
        List<Integer> others = told(0).stream()
                .filter(t -> !t.getValue().holders().isEmpty())
                .map(Map.Entry::getKey)
                .distinct()
                .toList();
        assertEquals(List.of(recipient), others);
    }

    void toldOf(int recipient, String name, long of) {
        long node = node(name);
        assertTrue(
                told(0).stream()
                        .filter(t -> t.getKey() == recipient)
                        .flatMap(t -> t.getValue().holders().stream())
                        .anyMatch(h -> h.objectId() == of && h.endpointId() == node),
                "never told router " + recipient);
    }

    void notTold(long of) {
        assertTrue(
                told(0).stream().flatMap(t -> t.getValue().holders().stream()).noneMatch(h -> h.objectId() == of));
    }

    void toldIn(int recipient, int holders, int messages) {
        List<PeerMessage> with = told(0).stream()
                .filter(t -> t.getKey() == recipient)
                .map(Map.Entry::getValue)
                .filter(m -> !m.holders().isEmpty())
                .toList();
        assertEquals(holders, with.stream().mapToInt(m -> m.holders().size()).sum());
        assertTrue(with.size() <= messages, "in " + with.size() + " messages");
    }

    /** Of what went out while time passed last, the membership's left out. */
    void messagesATenth(int least, int most) {
        double count = told(toldBefore).size();
        double rate = count / (passed / (100.0 * MS));
        assertTrue(rate >= least && rate <= most, rate + " messages in a tenth of a second");
    }

    void cachesShare() {
        shares(
                caches(),
                picks.values().stream()
                        .map(RecordingActions.StartedAttempt::node)
                        .toList());
    }

    void parentsShare() {
        shares(
                list.keySet().stream()
                        .filter(node -> node > PARENTS && node < ORIGIN)
                        .toList(),
                picks.values().stream().map(sent -> sent.plan().fillSource()).toList());
    }

    /**
     * Each of these has between two thirds and four thirds of what it would have of even parts, and nobody else has
     * any.
     */
    private static void shares(List<Long> among, List<Long> had) {
        double even = (double) had.size() / among.size();
        long sum = 0;
        for (long each : among) {
            long count = had.stream().filter(node -> node == each).count();
            assertTrue(count > even * 2 / 3 && count < even * 4 / 3, each + " has " + count + " of " + had.size());
            sum += count;
        }
        assertEquals(had.size(), sum);
    }

    /** Objects that moved from one pick to the next all left one cache, or all came to it. */
    void moved(String way, long cache) {
        int moved = 0;
        for (Map.Entry<Long, RecordingActions.StartedAttempt> pick : picks.entrySet()) {
            long from = picksBefore.get(pick.getKey()).node();
            long to = pick.getValue().node();
            moved += from != to ? 1 : 0;
            assertTrue(from == to || cache == (way.equals("from") ? from : to), "moved from " + from + " to " + to);
            assertNotEquals(way.equals("from") ? cache : -1, to);
        }
        assertTrue(moved > picks.size() / 10, "only " + moved + " moved");
    }

    void sourced(long parent, double least, double most) {
        double share = picks.values().stream()
                        .filter(sent -> sent.plan().fillSource() == parent)
                        .count()
                / (double) picks.size();
        assertTrue(share >= least && share <= most, "a share of " + share);
    }

    /** Of requests out at once: those that a miss would start a fill for. */
    void fillsAtMost(int most) {
        long fills = picks.values().stream()
                .filter(sent -> sent.plan().fillSource() != sent.node())
                .count();
        assertTrue(fills > 0 && fills <= most, fills + " fills");
    }

    void noneTo(long node) {
        assertTrue(
                !picks.isEmpty()
                        && picks.values().stream()
                                .allMatch(sent ->
                                        sent.node() != node && sent.plan().fillSource() != node),
                "some go to " + node);
    }

    static long us(String number, String unit) {
        return (long) (Double.parseDouble(number) * (unit.equals("s") ? SECOND : MS));
    }
}
