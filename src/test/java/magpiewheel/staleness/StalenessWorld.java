package magpiewheel.staleness;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import magpiewheel.membership.MemberStatus;
import magpiewheel.membership.MembershipView;
import magpiewheel.membership.PartitionVerdict;
import magpiewheel.support.Fingerprint;

/**
 * Simulates routers, caches, parents, an origin that takes writes, discovery and client sessions in virtual time.
 * Replies are checked against the origin's own clock and versions, which no router sees.
 */
final class StalenessWorld {

    static final int ROUTERS = 5;
    static final int CACHES = 4;
    static final int PARENTS = 2;
    static final long MS = 1_000;
    static final long FRESH = 5_000 * MS;
    static final long GRACE = 10_000 * MS;
    private static final long EPOCH = 1_764_576_000_000_000L;
    private static final int OBJECTS = 14;
    private static final int SESSIONS = 24;
    private static final long CLIENT_TIMEOUT = 1_500 * MS;
    private static final long ORIGIN = 900;

    /** A copy: its version, and the origin time in ms at which it was issued. */
    private record Copy(int version, long originTimeMs) {}

    /** An endpoint's response; {@code viaOrigin} if the origin issued the copy for this request. */
    private record Response(Copy copy, boolean hit, boolean viaOrigin, long parent) {}

    private record Event(long at, long number, Runnable action) {}

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::number));
    private final SplittableRandom random;
    private final HistoryFault fault;
    private final HintUse hints;
    private long nextEventNumber;
    private long now;
    private final long originOffset;
    private final int[] versions = new int[OBJECTS + 1];
    /** The time of the origin's clock, us, at which each version was written, by object. */
    private final List<List<Long>> written = new ArrayList<>();

    private final Router[] routers = new Router[ROUTERS];
    private final Map<Long, Endpoint> endpoints = new HashMap<>();
    private final boolean[][] cut = new boolean[ROUTERS][ROUTERS];
    /** Purges in the order of publication: object, origin time, virtual time of publication. */
    private final List<long[]> purgesSent = new ArrayList<>();

    final StalenessTally tally = new StalenessTally();
    /** Fingerprint of all messages between routers, attempts and replies, with their times. */
    final Fingerprint actions = new Fingerprint();

    StalenessWorld(long seed, HistoryFault fault, HintUse hints) {
        random = new SplittableRandom(seed);
        this.fault = fault;
        this.hints = hints;
        originOffset = EPOCH + randomOffset(200 * MS);
        for (int i = 0; i <= OBJECTS; i++) {
            written.add(new ArrayList<>(List.of(0L)));
        }
        for (int i = 0; i < CACHES; i++) {
            endpoints.put(1L + i, new Endpoint(1L + i));
        }
        for (int i = 0; i < PARENTS; i++) {
            endpoints.put(101L + i, new Endpoint(101L + i));
        }
        for (int i = 0; i < ROUTERS; i++) {
            routers[i] = new Router(i);
        }
    }

    private boolean has(HistoryFault one) {
        return fault == one || fault == HistoryFault.ALL;
    }

    private long randomOffset(long max) {
        return random.nextLong(2 * max + 1) - max;
    }

    private void after(long us, Runnable action) {
        events.add(new Event(now + us, nextEventNumber++, action));
    }

    private void every(long us, Runnable action) {
        after(us, () -> {
            action.run();
            every(us, action);
        });
    }

    private long originClock() {
        return now + originOffset;
    }

    /** Returns a random one-way network delay. */
    private long delay() {
        return 300 + random.nextLong(random.nextInt(20) == 0 ? 150 * MS : 6 * MS);
    }

    private boolean isLost() {
        return has(HistoryFault.LOSS) && random.nextInt(10) == 0;
    }

    /** Runs the history for some seconds of virtual time. */
    StalenessTally play(long seconds) {
        for (int i = 0; i < SESSIONS; i++) {
            Client session = new Client(i);
            after(random.nextLong(1_000 * MS) + 2_500 * MS, session::next);
        }
        every(700 * MS, this::purge);
        scheduleFaults();
        while (!events.isEmpty() && events.peek().at() <= seconds * 1_000 * MS) {
            Event event = events.poll();
            now = event.at();
            event.action().run();
        }
        return tally;
    }

    private void scheduleFaults() {
        if (has(HistoryFault.SPLIT)) {
            every(9_000 * MS, this::split);
        }
        if (has(HistoryFault.KILLED)) {
            every(3_000 * MS, () -> {
                Router router = routers[random.nextInt(ROUTERS)];
                router.kill();
                after(100 * MS + random.nextLong(2_000 * MS), router::start);
            });
        }
        if (has(HistoryFault.PAUSED)) {
            every(2_500 * MS, () -> {
                Router router = routers[random.nextInt(ROUTERS)];
                router.paused = true;
                after(50 * MS + random.nextLong(3_500 * MS), router::resume);
            });
        }
        if (has(HistoryFault.BOARD)) {
            every(4_000 * MS, () -> {
                Router router = routers[random.nextInt(ROUTERS)];
                router.discoveryCutUntil = now + 1_000 * MS + random.nextLong(9_000 * MS);
            });
        }
        if (has(HistoryFault.CACHES)) {
            every(5_000 * MS, () -> {
                Endpoint endpoint = endpoints.get(1L + random.nextInt(CACHES));
                if (endpoints.values().stream().noneMatch(one -> one.draining || one.removed)) {
                    endpoint.drain(random.nextBoolean());
                }
            });
        }
    }

    private void split() {
        boolean[] side = new boolean[ROUTERS];
        for (int i = 0; i < ROUTERS; i++) {
            side[i] = random.nextBoolean();
        }
        for (int i = 0; i < ROUTERS; i++) {
            for (int j = 0; j < ROUTERS; j++) {
                cut[i][j] = side[i] != side[j];
            }
            if (side[i]) {
                routers[i].discoveryCutUntil = now + 6_000 * MS;
            }
        }
        after(6_000 * MS, () -> {
            for (boolean[] row : cut) {
                java.util.Arrays.fill(row, false);
            }
        });
    }

    private void purge() {
        int object = 1 + random.nextInt(OBJECTS);
        long at = originClock() / MS * MS;
        long late = has(HistoryFault.LATE_PURGES) ? random.nextLong(5_000 * MS) : random.nextLong(20 * MS);
        after(late, () -> {
            purgesSent.add(new long[] {object, at, now});
            // Caches and parents drop older copies on their own, some time later.
            after(
                    random.nextLong(2_000 * MS),
                    () -> endpoints.values().forEach(endpoint -> endpoint.purged(object, at)));
        });
    }

    // ---------------------------------------------------------------- caches and parents

    /** A simulated cache or parent. */
    private final class Endpoint {
        final long id;
        final long clockOffset = EPOCH + (has(HistoryFault.CLOCKS) ? randomOffset(400 * MS) : randomOffset(5 * MS));
        final Map<Integer, Copy> copies = new HashMap<>();
        final Map<Integer, List<Consumer<Response>>> fillsInFlight = new HashMap<>();
        boolean draining;
        boolean removed;
        long startedUs;
        int incarnation;

        Endpoint(long id) {
            this.id = id;
        }

        private long clock() {
            return now + clockOffset;
        }

        void drain(boolean restarts) {
            draining = true;
            notifyRouters();
            after(1_500 * MS, () -> {
                removed = true;
                incarnation++;
                notifyRouters();
            });
            after(3_000 * MS, () -> {
                removed = false;
                draining = false;
                fillsInFlight.clear();
                if (restarts) {
                    copies.clear();
                    startedUs = EPOCH + now;
                }
                notifyRouters();
            });
        }

        private void notifyRouters() {
            for (Router router : routers) {
                after(delay(), () -> router.run(router::updateReplicas));
            }
        }

        void purged(int object, long atUs) {
            Copy copy = copies.get(object);
            if (copy != null && copy.originTimeMs() * MS < atUs) {
                copies.remove(object);
            }
        }

        /** Responds with a copy that is young enough by the endpoint's own clock, or fills it. */
        void read(int object, long limitUs, long via, boolean mayJoin, Consumer<Response> to) {
            Copy copy = copies.get(object);
            if (copy != null && clock() - copy.originTimeMs() * MS <= limitUs) {
                to.accept(new Response(copy, true, false, 0));
                return;
            }
            List<Consumer<Response>> fillInFlight = fillsInFlight.get(object);
            if (fillInFlight != null && mayJoin) {
                fillInFlight.add(answer -> to.accept(new Response(answer.copy(), false, false, answer.parent())));
                return;
            }
            List<Consumer<Response>> waiters = new ArrayList<>();
            fillsInFlight.put(object, waiters);
            Consumer<Response> filled = answer -> {
                fillsInFlight.remove(object, waiters);
                Copy previous = copies.get(object);
                if (previous == null || previous.originTimeMs() <= answer.copy().originTimeMs()) {
                    copies.put(object, answer.copy());
                }
                Response response = new Response(answer.copy(), false, answer.viaOrigin(), via == ORIGIN ? 0 : via);
                to.accept(response);
                waiters.forEach(waiter -> waiter.accept(response));
            };
            int startedIn = incarnation;
            after(delay(), () -> {
                if (startedIn != incarnation) {
                    return;
                }
                if (via == ORIGIN) {
                    Copy fresh = new Copy(versions[object], originClock() / MS);
                    after(delay(), () -> filled.accept(new Response(fresh, false, true, 0)));
                } else {
                    // A parent uses the fresh time of the class, since it does not know the bound.
                    endpoints
                            .get(via)
                            .read(object, FRESH, ORIGIN, true, answer -> after(delay(), () -> filled.accept(answer)));
                }
            });
        }
    }

    // ---------------------------------------------------------------- routers

    /** A simulated router: the routing of a read, as far as bounded staleness affects it. */
    private final class Router implements MembershipView {
        final int routerId;
        final long clockOffset;
        final double rate;
        BoundedStalenessReads reads;
        boolean alive;
        boolean paused;
        int incarnation;
        long discoveryCutUntil;
        int delivered;
        final ArrayDeque<Runnable> deferred = new ArrayDeque<>();
        final Map<Integer, Long> purges = new HashMap<>();
        final Map<Integer, Copy> localCopies = new HashMap<>();
        /** Reads in flight to the origin to learn its clock. */
        int originReads;

        List<Long> readyCaches = new ArrayList<>();

        Router(int routerId) {
            this.routerId = routerId;
            clockOffset = EPOCH + randomOffset(400 * MS);
            rate = 1 + (random.nextDouble() * 2 - 1) * (has(HistoryFault.CLOCKS) ? 600e-6 : 100e-6);
            start();
        }

        long clock() {
            return clockOffset + (long) (now * rate);
        }

        void start() {
            if (alive) {
                return;
            }
            alive = true;
            paused = false;
            int startedIn = ++incarnation;
            localCopies.clear();
            purges.clear();
            delivered = 0;
            originReads = 0;
            reads = new BoundedStalenessReads(clock(), routerId, 0, this, (to, bytes) -> {
                tally.messagesSent++;
                actions.add(now).add((long) routerId).add((long) to).add(bytes);
                tally.maxMessageBytes = Math.max(tally.maxMessageBytes, bytes.length);
                if (!cut[routerId][to] && !isLost() && !isLost()) {
                    after(
                            1_400 + random.nextLong(21_600),
                            () -> routers[to].run(
                                    () -> routers[to].reads.messageReceived(routers[to].clock(), routerId, bytes)));
                }
            });
            updateReplicas();
            tick(startedIn);
            deliverDiscovery(startedIn);
        }

        private void tick(int startedIn) {
            if (startedIn != incarnation || !alive) {
                return;
            }
            run(() -> {
                if (clock() >= reads.due()) {
                    reads.tick(clock());
                }
            });
            after(50 * MS, () -> tick(startedIn));
        }

        /** Delivers discovery frames: one for each outstanding purge, otherwise an empty one each half second. */
        private void deliverDiscovery(int startedIn) {
            if (startedIn != incarnation || !alive) {
                return;
            }
            if (now >= discoveryCutUntil) {
                int upTo = purgesSent.size();
                after(
                        delay(),
                        () -> run(() -> {
                            if (startedIn != incarnation) {
                                return;
                            }
                            // One frame per purge, some ms apart, as after an interruption of discovery.
                            if (delivered < upTo) {
                                long[] one = purgesSent.get(delivered++);
                                purges.merge((int) one[0], one[1], Math::max);
                                reads.objectPurged(clock(), one[0], 0, one[1]);
                            }
                            reads.discoveryHeard(clock());
                        }));
            }
            after(delivered < purgesSent.size() ? 60 * MS : 500 * MS, () -> deliverDiscovery(startedIn));
        }

        void kill() {
            alive = false;
            incarnation++;
            deferred.clear();
        }

        void resume() {
            if (paused) {
                paused = false;
                while (!deferred.isEmpty() && !paused) {
                    deferred.remove().run();
                }
            }
        }

        /** Runs an action at once, or when the paused process resumes. */
        void run(Runnable action) {
            if (!alive) {
                return;
            }
            if (paused) {
                deferred.add(action);
            } else {
                action.run();
            }
        }

        void updateReplicas() {
            readyCaches = new ArrayList<>();
            List<Replica> all = new ArrayList<>();
            for (long id = 1; id <= CACHES; id++) {
                Endpoint endpoint = endpoints.get(id);
                if (!endpoint.removed) {
                    all.add(new Replica(id, endpoint.draining, 1, endpoint.startedUs));
                    if (!endpoint.draining) {
                        readyCaches.add(id);
                    }
                }
            }
            if (reads != null) {
                reads.replicasChanged(clock(), all);
            }
        }

        private List<Long> order(int object) {
            List<Long> order = new ArrayList<>(readyCaches);
            order.sort(Comparator.comparingLong(id -> SetAssociativeTable.keyOf(object, id, 7)));
            return order;
        }

        void read(ReadHint hint, int object, Consumer<Reply> to) {
            long arrivedAt = clock();
            long purge = purges.getOrDefault(object, 0L);
            StalenessBound bound = reads.boundOf(arrivedAt, hint, FRESH, GRACE, purge);
            if (bound.strict() && !bound.provable()) {
                tally.rejectedAtOnce++;
                to.accept(new Reply(null, -1, false));
                return;
            }
            Copy localCopy = localCopies.get(object);
            if (localCopy != null
                    && arrivedAt - localCopy.originTimeMs() * MS <= FRESH
                    && (bound.isBounded() || localCopy.originTimeMs() * MS >= purge)
                    && reads.accepts(arrivedAt, bound, localCopy.originTimeMs() * MS)) {
                to.accept(new Reply(localCopy, 0, true));
                return;
            }
            if (!reads.requiresOriginResponse(arrivedAt, bound)) {
                attempt(hint, object, bound, purge, 0, to);
            } else if (BoundedStalenessReads.mayReadOrigin(originReads)) {
                originReads++;
                tally.originClockReads++;
                attempt(hint, object, bound, purge, 0, reply -> {
                    originReads--;
                    to.accept(reply);
                });
            } else {
                tally.rejectedAtOnce++;
                to.accept(new Reply(null, -1, false));
            }
        }

        private void attempt(
                ReadHint hint, int object, StalenessBound bound, long purge, int tries, Consumer<Reply> to) {
            List<Long> order = order(object);
            if (order.isEmpty()) {
                to.accept(new Reply(null, -1, false));
                return;
            }
            long sent = clock();
            long preferred = reads.preferredReplica(sent, hint, object, 0, order, bound);
            long endpoint = preferred != 0 ? preferred : order.get(0);
            long parent = 101 + object % PARENTS;
            boolean originOnly = reads.requiresOriginResponse(sent, bound);
            boolean viaParent = tries == 0
                    && !originOnly
                    && (!bound.isBounded() || reads.mayBeAcceptable(sent, object, 0, parent, bound));
            long limit = FRESH;
            long maxAgeUs = reads.maxAgeUs(sent, object, 0, endpoint, bound);
            limit = maxAgeUs > 0 ? Math.min(limit, maxAgeUs) : limit;
            limit = purge > 0 ? Math.min(limit, Math.max(1, sent - purge)) : limit;
            limit = tries > 0 || originOnly ? 1 : limit;
            long fresh = Math.max(MS, limit);
            actions.add(now)
                    .add((long) routerId)
                    .add((long) object)
                    .add(endpoint)
                    .add(viaParent)
                    .add(fresh);
            int startedIn = incarnation;
            boolean[] ended = new boolean[1];
            after(
                    300 * MS,
                    () -> run(() -> {
                        if (startedIn == incarnation && !ended[0]) {
                            ended[0] = true;
                            retry(hint, object, bound, purge, tries, null, to);
                        }
                    }));
            if (isLost()) {
                return;
            }
            int endpointIncarnation = endpoints.get(endpoint).incarnation;
            after(
                    delay(),
                    () -> endpoints
                            .get(endpoint)
                            .read(object, fresh, viaParent ? parent : ORIGIN, tries == 0 && !originOnly, answer -> {
                                if (isLost() || endpointIncarnation != endpoints.get(endpoint).incarnation) {
                                    return;
                                }
                                after(
                                        delay(),
                                        () -> run(() -> {
                                            if (startedIn != incarnation || ended[0]) {
                                                return;
                                            }
                                            ended[0] = true;
                                            handle(hint, object, bound, purge, tries, sent, endpoint, answer, to);
                                        }));
                            }));
        }

        private void handle(
                ReadHint hint,
                int object,
                StalenessBound bound,
                long purge,
                int tries,
                long sent,
                long endpoint,
                Response answer,
                Consumer<Reply> to) {
            long got = clock();
            long originTimeUs = answer.copy().originTimeMs() * MS;
            reads.responseReceived(sent, got, originTimeUs, answer.viaOrigin());
            reads.responseServed(got, hint, object, 0, endpoint, originTimeUs);
            if (answer.parent() != 0) {
                reads.responseServed(got, ReadHint.NONE, object, 0, answer.parent(), originTimeUs);
            }
            if ((bound.isBounded() || originTimeUs >= purge) && reads.accepts(got, bound, originTimeUs)) {
                Copy previous = localCopies.get(object);
                if (previous == null || previous.originTimeMs() < answer.copy().originTimeMs()) {
                    localCopies.put(object, answer.copy());
                }
                to.accept(new Reply(answer.copy(), 0, answer.hit()));
            } else {
                retry(hint, object, bound, purge, tries, answer.copy(), to);
            }
        }

        private void retry(
                ReadHint hint, int object, StalenessBound bound, long purge, int tries, Copy got, Consumer<Reply> to) {
            if (tries < 2) {
                attempt(hint, object, bound, purge, tries + 1, to);
            } else if (bound.strict() || got == null) {
                to.accept(new Reply(null, -1, false));
            } else {
                to.accept(new Reply(got, reads.violatingAgeMs(clock(), bound, got.originTimeMs() * MS), false));
            }
        }

        void write(int object, Consumer<Reply> to) {
            long sent = clock();
            int startedIn = incarnation;
            if (isLost()) {
                return;
            }
            after(delay() + delay(), () -> {
                versions[object]++;
                written.get(object).add(originClock());
                Copy copy = new Copy(versions[object], originClock() / MS);
                after(
                        delay() + delay(),
                        () -> run(() -> {
                            if (startedIn == incarnation) {
                                reads.writeAnswered(sent, clock(), copy.originTimeMs() * MS);
                                to.accept(new Reply(copy, 0, false));
                            }
                        }));
            });
        }

        // ------------------------------------------------------------ membership view

        @Override
        public MemberStatus status(int router) {
            return routers[router].alive ? MemberStatus.ALIVE : MemberStatus.DEAD;
        }

        @Override
        public PartitionVerdict verdict() {
            return PartitionVerdict.COMPLETE;
        }

        @Override
        public int zone(int router) {
            return 0;
        }

        @Override
        public List<Integer> runningMembers() {
            List<Integer> heard = new ArrayList<>();
            for (int i = 0; i < ROUTERS; i++) {
                if (i != routerId && routers[i] != null && routers[i].alive && !cut[i][routerId]) {
                    heard.add(i);
                }
            }
            return heard;
        }

        @Override
        public List<Integer> runningMembersIn(int zone) {
            return runningMembers();
        }

        @Override
        public List<Integer> servingAddresses(int zone) {
            return List.of();
        }

        @Override
        public double quotaDivisor(long time) {
            return ROUTERS;
        }

        @Override
        public double quotaDivisorIn(long time, int zone) {
            return ROUTERS;
        }

        @Override
        public int digest() {
            return 0;
        }
    }

    /** A router's reply: rejected if there is no copy; with {@code aged} other than 0 the copy violates the bound. */
    private record Reply(Copy copy, long aged, boolean hit) {}

    // ---------------------------------------------------------------- clients and checks

    /** A simulated client session that reads and writes, and sends the marks that it received. */
    private final class Client {
        final long id;
        int router;
        final Map<Integer, Long> marks = new HashMap<>();
        /** The newest version received, by object. */
        final Map<Integer, Integer> newestVersions = new HashMap<>();

        final int kind;
        int requests;

        Client(int number) {
            id = 1_000_000L + number;
            kind = number % 6;
            router = number % ROUTERS;
        }

        void next() {
            int number = ++requests;
            if (random.nextInt(20) == 0) {
                router = random.nextInt(ROUTERS);
            }
            int object = 1 + Math.min(OBJECTS - 1, (int) (OBJECTS * random.nextDouble() * random.nextDouble()));
            after(CLIENT_TIMEOUT, () -> {
                if (number == requests) {
                    router = random.nextInt(ROUTERS);
                    next();
                }
            });
            boolean writes = random.nextInt(16) == 0;
            ReadHint hint = hint(object);
            Router contacted = routers[router];
            after(delay(), () -> {
                long arrivedAt = originClock();
                if (!contacted.alive) {
                    return;
                }
                if (writes) {
                    contacted.run(() -> contacted.write(
                            object, reply -> after(delay(), () -> writeCompleted(number, object, reply))));
                } else {
                    countRead(hint);
                    Map<Integer, Integer> before = new HashMap<>(newestVersions);
                    contacted.run(() -> contacted.read(
                            hints == HintUse.NONE ? ReadHint.NONE : hint,
                            object,
                            reply -> after(
                                    delay(),
                                    () -> read(
                                            number, object, hint, arrivedAt, before.getOrDefault(object, 0), reply))));
                }
            });
        }

        private ReadHint hint(int object) {
            long pin = hints == HintUse.PINS ? id : 0;
            long mark = marks.getOrDefault(object, 0L);
            long maxAgeUs = List.of(100L, 500L, 1_500L, 5_000L).get((int) (id / 6 % 4)) * MS;
            return switch (kind) {
                case 0, 1 -> new ReadHint(0, mark, pin, mark > 0);
                case 2 -> new ReadHint(maxAgeUs, 0, pin, true);
                case 3 -> new ReadHint(maxAgeUs, mark, pin, true);
                case 4 -> new ReadHint(maxAgeUs, mark, pin, false);
                default -> ReadHint.NONE;
            };
        }

        private void countRead(ReadHint hint) {
            tally.strictReads += hint.strict() ? 1 : 0;
            tally.preferReads += hint.isBounded() && !hint.strict() ? 1 : 0;
        }

        private void writeCompleted(int number, int object, Reply reply) {
            if (number != requests) {
                return;
            }
            newestVersions.merge(object, reply.copy().version(), Math::max);
            marks.merge(object, BoundedStalenessReads.markOf(reply.copy().originTimeMs() * MS, true), Math::max);
            scheduleNext(reply);
        }

        private void read(int number, int object, ReadHint hint, long arrivedAt, int before, Reply reply) {
            if (number != requests) {
                return;
            }
            if (reply.copy() == null) {
                tally.strictRejected += hint.strict() ? 1 : 0;
            } else {
                tally.repliesWithCopy++;
                tally.hits += reply.hit() ? 1 : 0;
                tally.strictServed += hint.strict() ? 1 : 0;
                tally.preferViolations += reply.aged() != 0 ? 1 : 0;
                if (hints != HintUse.NONE) {
                    check(object, hint, arrivedAt, before, reply);
                }
                newestVersions.merge(object, reply.copy().version(), Math::max);
                marks.merge(object, BoundedStalenessReads.markOf(reply.copy().originTimeMs() * MS, false), Math::max);
            }
            actions.add(now)
                    .add(id)
                    .add(reply.copy() == null ? 0 : reply.copy().originTimeMs())
                    .add(reply.aged());
            scheduleNext(reply);
        }

        private void check(int object, ReadHint hint, long arrivedAt, int before, Reply reply) {
            Copy copy = reply.copy();
            long age = arrivedAt - copy.originTimeMs() * MS;
            boolean boundClaimed = reply.aged() == 0 && hint.isBounded();
            if (boundClaimed && hint.atMostUs() > 0 && age > hint.atMostUs()
                    || boundClaimed && hint.afterMs() > 0 && copy.originTimeMs() < hint.afterMs()) {
                tally.boundViolations.add(
                        now / MS + " ms: object " + object + ", " + hint + ", age " + age + " us, " + copy);
            }
            if (reply.aged() > 0 && hint.atMostUs() > 0 && age > reply.aged() * MS) {
                tally.understatedAges.add(
                        now / MS + " ms: reported age " + reply.aged() + " ms, actual age " + age + " us");
            }
            if (boundClaimed && hint.afterMs() > 0 && copy.version() < before) {
                long newer = written.get(object).get(copy.version() + 1);
                if (newer / MS == hint.afterMs()) {
                    tally.markTies++;
                } else {
                    tally.sessionRegressions.add(
                            now / MS + " ms: object " + object + " fell from " + before + " to " + copy + ", " + hint);
                }
            }
            long oldest = copy.originTimeMs() * MS;
            if (hint.strict()
                    && purgesSent.stream()
                            .anyMatch(one -> one[0] == object
                                    && one[1] > oldest
                                    && one[2] + 2_500 * MS + 200 * MS < arrivedAt - originOffset)) {
                tally.purgeViolations.add(now / MS + " ms: object " + object + " is older than a purge, " + hint);
            }
        }

        private void scheduleNext(Reply reply) {
            requests++;
            if (reply.copy() == null) {
                router = random.nextInt(ROUTERS);
            }
            after(reply.copy() == null ? 300 * MS : 30 * MS + random.nextLong(250 * MS), this::next);
        }
    }
}
