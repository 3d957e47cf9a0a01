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
 * One router in virtual time with simulated endpoints and peers, for rows of the design. Cache ids are 1, 2, ...,
 * parent ids 101, 102, ... (1, 2, ... in rows), the origin is 201. Router 0 is the router under test. Timers expire
 * when they are due, and each event takes a millisecond.
 */
final class DesignWorld {
    static final long ORIGIN = 201;
    static final long MS = 1_000;
    static final long SECOND = 1_000 * MS;
    private static final int PARENT_ID_OFFSET = 100;
    private static final int READ = 0;
    private static final int WRITE = 1;
    private static final int UNSAFE_WRITE = 2;
    /** Requests after which a parent that has not become a fill source counts as never selected. */
    private static final int MAX_TRIAL_REQUESTS = 10_000;

    final RecordingActions recordedActions = new RecordingActions();
    final Fingerprint fingerprint = new Fingerprint();
    final Map<Long, EndpointInfo> endpoints = new TreeMap<>();
    private final PriorityQueue<long[]> timers = new PriorityQueue<>(Comparator.comparingLong(t -> t[0]));
    private final Map<Long, Long> submittedAtUs = new HashMap<>();
    private final Map<Long, List<RecordingActions.StartedAttempt>> attemptsByRequest = new HashMap<>();
    private int callsRead;
    private int attemptsRead;
    private RequestRouter router;
    long nowUs = 100 * SECOND;
    /** Whether routers may send requests to the origin themselves. Set before the first event. */
    boolean routersReachOrigin = true;

    /** Routers in the zone of the router under test, itself included. Set before the first event. */
    int localRouters = 3;
    /** The object that the steps of the row named last. */
    long currentObject;

    long lastRequest;
    long previousRequest;
    private long purgedAtUs;
    private int messagesBeforeAdvance;
    private long advancedUs;
    Map<Long, RecordingActions.StartedAttempt> selections = Map.of();
    Map<Long, RecordingActions.StartedAttempt> previousSelections = Map.of();

    RoutingSettings settings(int routerId) {
        int remoteRouters = 1;
        return RoutingSettings.builder(
                        RouterTopology.builder(routerId, localRouters + remoteRouters, 0)
                                .routersByZone(new int[] {localRouters, remoteRouters})
                                .hubByZone(new int[] {1, 1})
                                .linkKbPerSByZone(new double[] {100_000, 100_000})
                                .parentKind(1)
                                .originKind(2)
                                .transferKbPerS(10_000)
                                .build(),
                        List.of(
                                requestClass(Idempotency.IDEMPOTENT, false),
                                requestClass(Idempotency.KEYED, true),
                                requestClass(Idempotency.NOT_IDEMPOTENT, true)),
                        SimulatedSite.limits(6).build(),
                        SimulatedSite.safetyLimits(
                                new SlowStartProfile(0.2, 17 * SECOND, 2, 2 * SECOND),
                                new SlowStartProfile(0.1, 20 * SECOND, 2, 2 * SECOND)))
                .overQuotaPriorityWeight(0)
                .cachesJoinFills(true)
                .mayBypassCaches(routersReachOrigin)
                .detailedCacheStatus(true)
                .build();
    }

    private static RequestClass requestClass(Idempotency idempotency, boolean write) {
        return RequestClass.builder(500 * MS, 3 * SECOND)
                .transferTimeFactor(2)
                .latePriorityWeight(0.2)
                .idempotency(idempotency)
                .idempotencyWindowUs(2 * SECOND)
                .write(write)
                .stalePriorityWeight(0.5)
                .build();
    }

    private RequestRouter router() {
        if (router == null) {
            RoutingActions fingerprintedActions =
                    new FingerprintedActions(recordedActions, fingerprint, 0, () -> nowUs);
            router = new RequestRouter(
                    settings(0),
                    42,
                    fingerprintedActions,
                    settings(0).topology().membershipConfig(0, 400 * MS, 1, false),
                    null,
                    false);
            router.endpointsChanged(nowUs, EndpointListMode.CACHED, List.copyOf(endpoints.values()));
            collectTimers();
        }
        return router;
    }

    // ---------------------------------------------------------------- preconditions and events

    void changeEndpoint(long node, EndpointState state, long startedUs) {
        int kind = node == ORIGIN ? 2 : node > PARENT_ID_OFFSET ? 1 : 0;
        EndpointInfo endpoint = EndpointInfo.builder(node, kind, kind == 0 ? 0 : 1)
                .startedUs(startedUs)
                .state(state)
                .build();
        if (state == EndpointState.READY) {
            endpoints.put(node, endpoint);
        } else {
            endpoints.remove(node);
        }
        if (router != null) {
            router.endpointsChanged(nowUs, EndpointListMode.DELTA, List.of(endpoint));
            advance(MS);
        }
    }

    /** Advances the time; each timer that becomes due expires at its time. */
    void advance(long durationUs) {
        router();
        long endUs = nowUs + durationUs;
        messagesBeforeAdvance = recordedActions.peerMessages.size();
        advancedUs = durationUs;
        for (collectTimers(); !timers.isEmpty() && timers.peek()[0] <= endUs; collectTimers()) {
            long[] due = timers.poll();
            nowUs = Math.max(nowUs, due[0]);
            router.timerExpired(nowUs, due[1]);
        }
        nowUs = endUs;
    }

    private void collectTimers() {
        for (; callsRead < recordedActions.calls.size(); callsRead++) {
            String[] words = recordedActions.calls.get(callsRead).split(" ");
            if (words[0].equals("setTimer")) {
                timers.add(new long[] {Long.parseLong(words[1]), Long.parseLong(words[2])});
            }
        }
    }

    /** Returns the id of the object with this letter. Objects N to Z belong to another group than A to M. */
    static long object(String name) {
        return 1_000 + name.charAt(0);
    }

    private static int group(long object) {
        return object >= object("N") && object <= object("Z") ? 6 : 5;
    }

    void submit(int requestClass, long object, int part, LocalCopy localCopy) {
        previousRequest = lastRequest;
        currentObject = object;
        submitWithoutAdvancing(++lastRequest, requestClass, object, part, localCopy);
        advance(MS);
    }

    private void submitWithoutAdvancing(long id, int requestClass, long object, int part, LocalCopy localCopy) {
        submittedAtUs.put(id, nowUs);
        router().requestArrived(
                        nowUs,
                        RoutingRequest.builder(id, requestClass, object)
                                .group(group(object))
                                .part(part)
                                .write(requestClass != READ)
                                .build(),
                        localCopy);
    }

    void read(long object) {
        submit(READ, object, 0, null);
    }

    void readPart(long object, int part) {
        submit(READ, object, part, null);
    }

    void write(long object, boolean idempotent) {
        submit(idempotent ? WRITE : UNSAFE_WRITE, object, 0, null);
    }

    void readWithLocalCopy(long object, long ageUs) {
        submit(READ, object, 0, new LocalCopy(ageUs, 100 * MS, 25 * MS));
    }

    /** Returns the attempts of a request in the order of their start. */
    List<RecordingActions.StartedAttempt> attempts(long id) {
        for (; attemptsRead < recordedActions.attempts.size(); attemptsRead++) {
            RecordingActions.StartedAttempt attempt = recordedActions.attempts.get(attemptsRead);
            attemptsByRequest
                    .computeIfAbsent(attempt.request(), key -> new ArrayList<>())
                    .add(attempt);
        }
        return attemptsByRequest.getOrDefault(id, List.of());
    }

    /** Returns the last attempt of the last request; fails if it has none, as when it was rejected. */
    RecordingActions.StartedAttempt lastAttempt() {
        List<RecordingActions.StartedAttempt> attempts = attempts(lastRequest);
        assertTrue(!attempts.isEmpty(), "request " + lastRequest + " has no attempt");
        return attempts.get(attempts.size() - 1);
    }

    void complete(long id, AttemptResult result, CacheStatus cacheStatus, long firstByteUs) {
        List<RecordingActions.StartedAttempt> attempts = attempts(id);
        if (attempts.isEmpty()) {
            throw new IllegalStateException("request " + id + " has no attempt to complete");
        }
        router().attemptEnded(
                        nowUs,
                        AttemptOutcome.builder(
                                        id,
                                        attempts.size() - 1,
                                        attempts.get(attempts.size() - 1).node(),
                                        result)
                                .durationUs(firstByteUs + 10 * MS)
                                .requestCompleted(result == AttemptResult.OK || result == AttemptResult.CANCELLED)
                                .cacheStatus(cacheStatus)
                                .firstByteUs(firstByteUs)
                                .build());
    }

    void complete(AttemptResult result, CacheStatus cacheStatus) {
        complete(lastRequest, result, cacheStatus, 10 * MS);
        advance(MS);
    }

    /** Requests {@code count} objects one after another; each client disconnects, so no response is recorded. */
    void select(int count) {
        previousSelections = selections;
        select(LongStream.rangeClosed(1, count).map(i -> 10_000 + i).toArray());
    }

    void select(long... objects) {
        Map<Long, RecordingActions.StartedAttempt> selected = new LinkedHashMap<>();
        for (long object : objects) {
            submitWithoutAdvancing(++lastRequest, READ, object, 0, null);
            selected.put(object, lastAttempt());
            disconnect(lastRequest);
        }
        selections = selected;
    }

    private void disconnect(long id) {
        router().clientDisconnected(nowUs, id);
        complete(id, AttemptResult.CANCELLED, CacheStatus.UNKNOWN, 0);
    }

    /**
     * Submits requests until {@code count} of them would be filled from this parent, disconnects the others, and then
     * completes those after {@code firstByteUs}.
     */
    void completeFills(int count, long parent, long firstByteUs) {
        List<Long> inFlight = new ArrayList<>();
        for (int i = 0; i < MAX_TRIAL_REQUESTS && inFlight.size() < count; i++) {
            submitWithoutAdvancing(++lastRequest, READ, 500_000 + lastRequest, 0, null);
            if (lastAttempt().plan().fillSource() == parent) {
                inFlight.add(lastRequest);
            } else {
                disconnect(lastRequest);
            }
        }
        if (inFlight.size() < count) {
            throw new IllegalStateException(
                    "parent " + parent + " is the fill source of " + inFlight.size() + " requests, expected " + count);
        }
        inFlight.forEach(id -> complete(id, AttemptResult.OK, CacheStatus.FILLED, firstByteUs));
        advance(MS);
    }

    /**
     * Requests {@code count} other objects once each, 200 us apart, and fills them; {@code repeatedObject} is requested
     * after each {@code interval} of them, or never if that is 0.
     */
    void scan(int count, long repeatedObject, int interval) {
        for (int i = 1; i <= count; i++) {
            submitWithoutAdvancing(++lastRequest, READ, 1_000_000 + i, 0, null);
            complete(lastRequest, AttemptResult.OK, CacheStatus.FILLED, 10 * MS);
            if (interval > 0 && i % interval == 0) {
                submitWithoutAdvancing(++lastRequest, READ, repeatedObject, 0, null);
                complete(lastRequest, AttemptResult.OK, CacheStatus.HIT, 10 * MS);
            }
            advance(200);
        }
    }

    /** Requests the objects of the last selection again, all before any response. */
    void requestSelectedAtOnce() {
        Map<Long, RecordingActions.StartedAttempt> selected = new LinkedHashMap<>();
        for (long object : List.copyOf(selections.keySet())) {
            submitWithoutAdvancing(++lastRequest, READ, object, 0, null);
            if (!attempts(lastRequest).isEmpty()) {
                selected.put(object, lastAttempt());
            }
        }
        previousSelections = selections;
        selections = selected;
    }

    void purge(long object, boolean wholeGroup, long agoUs) {
        currentObject = object;
        purgedAtUs = nowUs - agoUs;
        router().objectsPurged(nowUs, new Purge(agoUs, wholeGroup ? 0 : object, group(object)));
        advance(MS);
    }

    // ---------------------------------------------------------------- other routers

    /** Makes another router a running member in this router's view. Defined only here. */
    void discoverRouter(int sender) {
        router().peerMessageReceived(
                        nowUs,
                        sender,
                        HeartbeatMessages.fromServingMember(
                                sender, localRouters + 1, sender < localRouters ? 0 : 1, nowUs));
        receivePeerMessage(sender, nowUs, List.of(), List.of());
    }

    /** Receives a message that a router sent at {@code sentAtUs}; the router with the highest id is in another zone. */
    private void receivePeerMessage(int sender, long sentAtUs, List<EndpointLoad> loads, List<HolderHint> holders) {
        int zone = sender < localRouters ? 0 : 1;
        double limit = 20;
        router().peerMessageReceived(
                        nowUs,
                        sender,
                        PeerMessageCodec.encode(new PeerMessage(zone, sentAtUs, 0, limit, 0, loads, List.of(), holders))
                                .get(0));
        advance(MS);
    }

    void receiveHolderHint(int sender, long sentAtUs, long node, long object, long ageUs) {
        currentObject = object;
        receivePeerMessage(sender, sentAtUs, List.of(), List.of(new HolderHint(object, 0, node, group(object), (int)
                (ageUs / MS))));
    }

    void receiveEndpointLoad(int sender, long node, int inFlight) {
        receivePeerMessage(sender, nowUs, List.of(new EndpointLoad(node, inFlight, 16)), List.of());
    }

    /** Returns the routing messages sent to peers, from index {@code from} on, each with its recipient. */
    private List<Map.Entry<Integer, PeerMessage>> sentPeerMessages(int from) {
        List<String> lines = recordedActions.calls.stream()
                .filter(line -> line.startsWith("sendToPeer "))
                .toList();
        assertEquals(lines.size(), recordedActions.peerMessages.size());
        List<Map.Entry<Integer, PeerMessage>> messages = new ArrayList<>();
        for (int i = from; i < lines.size(); i++) {
            assertTrue(
                    recordedActions.peerMessages.get(i).length <= 256,
                    "peer message of " + recordedActions.peerMessages.get(i).length + " bytes, at most 256 expected");
            PeerMessage message = PeerMessageCodec.decode(recordedActions.peerMessages.get(i));
            // Membership messages are not routing messages: the codec returns null for them.
            if (message != null) {
                messages.add(Map.entry(Integer.parseInt(lines.get(i).split(" ")[1]), message));
            }
        }
        return messages;
    }

    // ---------------------------------------------------------------- assertions

    /** Returns the cache to which a router without holder hints sends requests for this object. */
    long hashedCache(long object) {
        RecordingActions actions = new RecordingActions();
        RequestRouter other = new RequestRouter(
                settings(1), 7, actions, settings(1).topology().membershipConfig(0, 400 * MS, 1, false), null, false);
        other.endpointsChanged(nowUs, EndpointListMode.CACHED, List.copyOf(endpoints.values()));
        other.requestArrived(
                nowUs,
                RoutingRequest.builder(1, READ, object).group(group(object)).build());
        return actions.lastAttempt().node();
    }

    /** Returns the id of the endpoint that a row names. */
    long endpoint(String name) {
        String[] words = name.split(" ");
        return switch (words[0] + (words.length > 1 ? " " + words[1] : "")) {
            case "the hashed" -> hashedCache(currentObject);
            case "another cache" -> anotherCache(currentObject);
            case "the origin" -> ORIGIN;
            default -> (words[0].equals("parent") ? PARENT_ID_OFFSET : 0) + Long.parseLong(words[1]);
        };
    }

    private long anotherCache(long object) {
        long hashedCache = hashedCache(object);
        return caches().stream()
                .filter(cache -> cache > hashedCache)
                .findFirst()
                .orElse(caches().get(0));
    }

    List<Long> caches() {
        return endpoints.keySet().stream()
                .filter(node -> node < PARENT_ID_OFFSET)
                .toList();
    }

    void assertSentTo(String name) {
        switch (name) {
            case "a cache" ->
                assertTrue(
                        lastAttempt().node() < PARENT_ID_OFFSET,
                        "sent to endpoint " + lastAttempt().node() + ", expected a cache");
            case "the cache of the request before" ->
                assertEquals(
                        attempts(previousRequest).get(0).node(), lastAttempt().node());
            default -> assertEquals(endpoint(name), lastAttempt().node());
        }
    }

    void assertFillSource(String name) {
        long source = lastAttempt().plan().fillSource();
        if (name.equals("a parent")) {
            assertTrue(
                    source > PARENT_ID_OFFSET && source < ORIGIN, "fill source is " + source + ", expected a parent");
        } else {
            assertEquals(endpoint(name), source);
        }
    }

    void assertOnlyCopiesSincePurge() {
        long since = submittedAtUs.get(lastRequest) - purgedAtUs;
        long limit = lastAttempt().plan().maxAgeUs();
        assertTrue(
                limit > 0 && limit <= since && limit > since - 5 * MS,
                "maximum age " + limit + " us, purge " + since + " us before the request");
    }

    void assertPassedThrough() {
        assertEquals(
                AttemptPlan.builder(lastAttempt().plan().fillSource())
                        .deadlineUs(lastAttempt().plan().deadlineUs())
                        .startByUs(lastAttempt().plan().startByUs())
                        .build(),
                lastAttempt().plan());
    }

    void assertHintsOnlyTo(int recipient) {
        List<Integer> recipients = sentPeerMessages(0).stream()
                .filter(t -> !t.getValue().holders().isEmpty())
                .map(Map.Entry::getKey)
                .distinct()
                .toList();
        assertEquals(List.of(recipient), recipients);
    }

    void assertHintSent(int recipient, String name, long object) {
        long node = endpoint(name);
        assertTrue(
                sentPeerMessages(0).stream()
                        .filter(t -> t.getKey() == recipient)
                        .flatMap(t -> t.getValue().holders().stream())
                        .anyMatch(h -> h.objectId() == object && h.endpointId() == node),
                "no hint sent to router " + recipient + " that endpoint " + node + " holds object " + object);
    }

    void assertNoHintSent(long object) {
        assertTrue(sentPeerMessages(0).stream()
                .flatMap(t -> t.getValue().holders().stream())
                .noneMatch(h -> h.objectId() == object));
    }

    void assertHintsPacked(int recipient, int expectedHints, int maxMessages) {
        List<PeerMessage> messagesWithHints = sentPeerMessages(0).stream()
                .filter(t -> t.getKey() == recipient)
                .map(Map.Entry::getValue)
                .filter(m -> !m.holders().isEmpty())
                .toList();
        assertEquals(
                expectedHints,
                messagesWithHints.stream().mapToInt(m -> m.holders().size()).sum());
        assertTrue(
                messagesWithHints.size() <= maxMessages,
                "hints sent in " + messagesWithHints.size() + " messages, expected at most " + maxMessages);
    }

    /** Checks the rate of routing messages sent during the last {@link #advance}; membership messages do not count. */
    void assertMessagesPer100Ms(int min, int max) {
        double count = sentPeerMessages(messagesBeforeAdvance).size();
        double rate = count / (advancedUs / (100.0 * MS));
        assertTrue(rate >= min && rate <= max, rate + " messages per 100 ms, expected " + min + " to " + max);
    }

    void assertCachesShareEvenly() {
        assertEvenShares(
                caches(),
                selections.values().stream()
                        .map(RecordingActions.StartedAttempt::node)
                        .toList());
    }

    void assertParentsShareEvenly() {
        assertEvenShares(
                endpoints.keySet().stream()
                        .filter(node -> node > PARENT_ID_OFFSET && node < ORIGIN)
                        .toList(),
                selections.values().stream()
                        .map(sent -> sent.plan().fillSource())
                        .toList());
    }

    /** Checks that each endpoint has between two thirds and four thirds of an even share, and no other has any. */
    private static void assertEvenShares(List<Long> endpoints, List<Long> selected) {
        double evenShare = (double) selected.size() / endpoints.size();
        long total = 0;
        for (long endpoint : endpoints) {
            long count = selected.stream().filter(node -> node == endpoint).count();
            assertTrue(
                    count > evenShare * 2 / 3 && count < evenShare * 4 / 3,
                    "endpoint " + endpoint + " was selected " + count + " times of " + selected.size());
            total += count;
        }
        assertEquals(selected.size(), total);
    }

    /**
     * Checks that all objects that moved between the last two selections moved from this cache, or to it if
     * {@code direction} is not "from", and that more than a tenth of the objects moved.
     */
    void assertMoved(String direction, long cache) {
        int moved = 0;
        for (Map.Entry<Long, RecordingActions.StartedAttempt> selection : selections.entrySet()) {
            long from = previousSelections.get(selection.getKey()).node();
            long to = selection.getValue().node();
            moved += from != to ? 1 : 0;
            assertTrue(
                    from == to || cache == (direction.equals("from") ? from : to),
                    "an object moved from cache " + from + " to " + to);
            assertNotEquals(direction.equals("from") ? cache : -1, to);
        }
        assertTrue(moved > selections.size() / 10, "only " + moved + " of " + selections.size() + " objects moved");
    }

    void assertFillShare(long parent, double minShare, double maxShare) {
        double share = selections.values().stream()
                        .filter(sent -> sent.plan().fillSource() == parent)
                        .count()
                / (double) selections.size();
        assertTrue(
                share >= minShare && share <= maxShare,
                "parent " + parent + " fills a share of " + share + ", expected " + minShare + " to " + maxShare);
    }

    /** Checks that of the selected requests some, but at most {@code maxFills}, have a fill source. */
    void assertFillsAtMost(int maxFills) {
        long fills = selections.values().stream()
                .filter(sent -> sent.plan().fillSource() != sent.node())
                .count();
        assertTrue(fills > 0 && fills <= maxFills, fills + " fills, expected 1 to " + maxFills);
    }

    void assertNoneTo(long node) {
        assertTrue(
                !selections.isEmpty()
                        && selections.values().stream()
                                .allMatch(sent ->
                                        sent.node() != node && sent.plan().fillSource() != node),
                "nothing was requested, or endpoint " + node + " was selected");
    }

    static long toUs(String number, String unit) {
        return (long) (Double.parseDouble(number) * (unit.equals("s") ? SECOND : MS));
    }
}
