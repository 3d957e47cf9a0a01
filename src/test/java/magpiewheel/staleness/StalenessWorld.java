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
 * Fronts with their pins, caches, parents, an origin that takes writes, a board and sessions, in virtual time. Whether
 * an answer is right is judged by the origin's own clock and versions, which no front sees.
 */
final class StalenessWorld {

    static final int FRONTS = 5;
    static final int CACHES = 4;
    static final int PARENTS = 2;
    static final long MS = 1_000;
    static final long FRESH = 5_000 * MS;
    static final long GRACE = 10_000 * MS;
    private static final long EPOCH = 1_764_576_000_000_000L;
    private static final int OBJECTS = 14;
    private static final int SESSIONS = 24;
    private static final long PATIENCE = 1_500 * MS;
    private static final long ORIGIN = 900;

    /** A copy: which version, and the ms at which the origin gave it out. */
    private record Copy(int version, long mintedMs) {}

    /** A node's answer; direct if the origin gave it out for this very request. */
    private record Answer(Copy copy, boolean hit, boolean direct, long parent) {}

    private record Event(long at, long number, Runnable does) {}

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::number));
    private final SplittableRandom random;
    private final HistoryFault fault;
    private final HintUse hints;
    private long numbers;
    private long now;
    private final long originOff;
    private final int[] versions = new int[OBJECTS + 1];
    /** When, in us of the origin, each version came to be. */
    private final List<List<Long>> written = new ArrayList<>();

    private final Front[] fronts = new Front[FRONTS];
    private final Map<Long, Node> nodes = new HashMap<>();
    private final boolean[][] cut = new boolean[FRONTS][FRONTS];
    /** Purges in the order of their publication. */
    private final List<long[]> published = new ArrayList<>();

    final StalenessTally tally = new StalenessTally();
    /** Of all messages between fronts, attempts and replies, with their times. */
    final Fingerprint actions = new Fingerprint();

    StalenessWorld(long seed, HistoryFault fault, HintUse hints) {
        random = new SplittableRandom(seed);
        this.fault = fault;
        this.hints = hints;
        originOff = EPOCH + spread(200 * MS);
        for (int i = 0; i <= OBJECTS; i++) {
            written.add(new ArrayList<>(List.of(0L)));
        }
        for (int i = 0; i < CACHES; i++) {
            nodes.put(1L + i, new Node(1L + i));
        }
        for (int i = 0; i < PARENTS; i++) {
            nodes.put(101L + i, new Node(101L + i));
        }
        for (int i = 0; i < FRONTS; i++) {
            fronts[i] = new Front(i);
        }
    }

    private boolean has(HistoryFault one) {
        return fault == one || fault == HistoryFault.ALL;
    }

    private long spread(long most) {
        return random.nextLong(2 * most + 1) - most;
    }

    private void after(long us, Runnable does) {
        events.add(new Event(now + us, numbers++, does));
    }

    private void every(long us, Runnable does) {
        after(us, () -> {
            does.run();
            every(us, does);
        });
    }

    private long originClock() {
        return now + originOff;
    }

    /** A way between machines. */
    private long way() {
        return 300 + random.nextLong(random.nextInt(20) == 0 ? 150 * MS : 6 * MS);
    }

    private boolean lost() {
        return has(HistoryFault.LOSS) && random.nextInt(10) == 0;
    }

    /** Plays some seconds. */
    StalenessTally play(long seconds) {
        for (int i = 0; i < SESSIONS; i++) {
            Session session = new Session(i);
            after(random.nextLong(1_000 * MS) + 2_500 * MS, session::next);
        }
        every(700 * MS, this::purge);
        schedule();
        while (!events.isEmpty() && events.peek().at() <= seconds * 1_000 * MS) {
            Event event = events.poll();
            now = event.at();
            event.does().run();
        }
        return tally;
    }

    private void schedule() {
        if (has(HistoryFault.SPLIT)) {
            every(9_000 * MS, this::split);
        }
        if (has(HistoryFault.KILLED)) {
            every(3_000 * MS, () -> {
                Front front = fronts[random.nextInt(FRONTS)];
                front.kill();
                after(100 * MS + random.nextLong(2_000 * MS), front::start);
            });
        }
        if (has(HistoryFault.PAUSED)) {
            every(2_500 * MS, () -> {
                Front front = fronts[random.nextInt(FRONTS)];
                front.paused = true;
                after(50 * MS + random.nextLong(3_500 * MS), front::resume);
            });
        }
        if (has(HistoryFault.BOARD)) {
            every(4_000 * MS, () -> {
                Front front = fronts[random.nextInt(FRONTS)];
                front.boardCut = now + 1_000 * MS + random.nextLong(9_000 * MS);
            });
        }
        if (has(HistoryFault.CACHES)) {
            every(5_000 * MS, () -> {
                Node node = nodes.get(1L + random.nextInt(CACHES));
                if (nodes.values().stream().noneMatch(one -> one.draining || one.gone)) {
                    node.drain(random.nextBoolean());
                }
            });
        }
    }

    private void split() {
        boolean[] side = new boolean[FRONTS];
        for (int i = 0; i < FRONTS; i++) {
            side[i] = random.nextBoolean();
        }
        for (int i = 0; i < FRONTS; i++) {
            for (int j = 0; j < FRONTS; j++) {
                cut[i][j] = side[i] != side[j];
            }
            if (side[i]) {
                fronts[i].boardCut = now + 6_000 * MS;
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
            published.add(new long[] {object, at, now});
            // Nodes drop what is older by themselves, some time later.
            after(random.nextLong(2_000 * MS), () -> nodes.values().forEach(node -> node.purged(object, at)));
        });
    }

    // ---------------------------------------------------------------- nodes

    /** A cache or a parent. */
    private final class Node {
        final long id;
        final long off = EPOCH + (has(HistoryFault.CLOCKS) ? spread(400 * MS) : spread(5 * MS));
        final Map<Integer, Copy> held = new HashMap<>();
        final Map<Integer, List<Consumer<Answer>>> filling = new HashMap<>();
        boolean draining;
        boolean gone;
        long startedUs;
        int life;

        Node(long id) {
            this.id = id;
        }

        private long clock() {
            return now + off;
        }

        void drain(boolean restarts) {
            draining = true;
            tellFronts();
            after(1_500 * MS, () -> {
                gone = true;
                life++;
                tellFronts();
            });
            after(3_000 * MS, () -> {
                gone = false;
                draining = false;
                filling.clear();
                if (restarts) {
                    held.clear();
                    startedUs = EPOCH + now;
                }
                tellFronts();
            });
        }

        private void tellFronts() {
            for (Front front : fronts) {
                after(way(), () -> front.run(front::list));
            }
        }

        void purged(int object, long atUs) {
            Copy copy = held.get(object);
            if (copy != null && copy.mintedMs() * MS < atUs) {
                held.remove(object);
            }
        }

        /** Answers with a copy that is young enough by its own clock, or fills it. */
        void read(int object, long limitUs, long via, boolean ride, Consumer<Answer> to) {
            Copy copy = held.get(object);
            if (copy != null && clock() - copy.mintedMs() * MS <= limitUs) {
                to.accept(new Answer(copy, true, false, 0));
                return;
            }
            List<Consumer<Answer>> waiting = filling.get(object);
            if (waiting != null && ride) {
                waiting.add(answer -> to.accept(new Answer(answer.copy(), false, false, answer.parent())));
                return;
            }
            List<Consumer<Answer>> mine = new ArrayList<>();
            filling.put(object, mine);
            Consumer<Answer> filled = answer -> {
                filling.remove(object, mine);
                Copy old = held.get(object);
                if (old == null || old.mintedMs() <= answer.copy().mintedMs()) {
                    held.put(object, answer.copy());
                }
                Answer own = new Answer(answer.copy(), false, answer.direct(), via == ORIGIN ? 0 : via);
                to.accept(own);
                mine.forEach(one -> one.accept(own));
            };
            int mineLife = life;
            after(way(), () -> {
                if (mineLife != life) {
                    return;
                }
                if (via == ORIGIN) {
                    Copy fresh = new Copy(versions[object], originClock() / MS);
                    after(way(), () -> filled.accept(new Answer(fresh, false, true, 0)));
                } else {
                    // A parent goes by its class: the bound is not known to it.
                    nodes.get(via)
                            .read(object, FRESH, ORIGIN, true, answer -> after(way(), () -> filled.accept(answer)));
                }
            });
        }
    }

    // ---------------------------------------------------------------- fronts

    /** A front: what the module does for a read, as far as pins have a say. */
    private final class Front implements MembershipView {
        final int me;
        final long off;
        final double rate;
        BoundedStalenessReads pins;
        boolean alive;
        boolean paused;
        int life;
        long boardCut;
        int told;
        final ArrayDeque<Runnable> waiting = new ArrayDeque<>();
        final Map<Integer, Long> purges = new HashMap<>();
        final Map<Integer, Copy> own = new HashMap<>();
        /** Reads under way to the origin itself for want of its clock. */
        int learning;

        List<Long> ready = new ArrayList<>();

        Front(int me) {
            this.me = me;
            off = EPOCH + spread(400 * MS);
            rate = 1 + (random.nextDouble() * 2 - 1) * (has(HistoryFault.CLOCKS) ? 600e-6 : 100e-6);
            start();
        }

        long clock() {
            return off + (long) (now * rate);
        }

        void start() {
            if (alive) {
                return;
            }
            alive = true;
            paused = false;
            int mine = ++life;
            own.clear();
            purges.clear();
            told = 0;
            learning = 0;
            pins = new BoundedStalenessReads(clock(), me, 0, this, (to, bytes) -> {
                tally.sent++;
                actions.add(now).add((long) me).add((long) to).add(bytes);
                tally.mostBytes = Math.max(tally.mostBytes, bytes.length);
                if (!cut[me][to] && !lost() && !lost()) {
                    after(
                            1_400 + random.nextLong(21_600),
                            () -> fronts[to].run(() -> fronts[to].pins.messageReceived(fronts[to].clock(), me, bytes)));
                }
            });
            list();
            tick(mine);
            board(mine);
        }

        private void tick(int mine) {
            if (mine != life || !alive) {
                return;
            }
            run(() -> {
                if (clock() >= pins.due()) {
                    pins.tick(clock());
                }
            });
            after(50 * MS, () -> tick(mine));
        }

        /** The board's frames: events that are still to come, or an empty one each second. */
        private void board(int mine) {
            if (mine != life || !alive) {
                return;
            }
            if (now >= boardCut) {
                int upTo = published.size();
                after(
                        way(),
                        () -> run(() -> {
                            if (mine != life) {
                                return;
                            }
                            // One frame for each event, some ms apart, as after a time without the board.
                            if (told < upTo) {
                                long[] one = published.get(told++);
                                purges.merge((int) one[0], one[1], Math::max);
                                pins.objectPurged(clock(), one[0], 0, one[1]);
                            }
                            pins.discoveryHeard(clock());
                        }));
            }
            after(told < published.size() ? 60 * MS : 500 * MS, () -> board(mine));
        }

        void kill() {
            alive = false;
            life++;
            waiting.clear();
        }

        void resume() {
            if (paused) {
                paused = false;
                while (!waiting.isEmpty() && !paused) {
                    waiting.remove().run();
                }
            }
        }

        /** At once, or when the process goes on. */
        void run(Runnable does) {
            if (!alive) {
                return;
            }
            if (paused) {
                waiting.add(does);
            } else {
                does.run();
            }
        }

        void list() {
            ready = new ArrayList<>();
            List<Replica> all = new ArrayList<>();
            for (long id = 1; id <= CACHES; id++) {
                Node node = nodes.get(id);
                if (!node.gone) {
                    all.add(new Replica(id, node.draining, 1, node.startedUs));
                    if (!node.draining) {
                        ready.add(id);
                    }
                }
            }
            if (pins != null) {
                pins.replicasChanged(clock(), all);
            }
        }

        private List<Long> order(int object) {
            List<Long> order = new ArrayList<>(ready);
            order.sort(Comparator.comparingLong(id -> SetAssociativeTable.keyOf(object, id, 7)));
            return order;
        }

        void read(ReadHint hint, int object, Consumer<Reply> to) {
            long came = clock();
            long purge = purges.getOrDefault(object, 0L);
            StalenessBound bound = pins.boundOf(came, hint, FRESH, GRACE, purge);
            if (bound.strict() && !bound.provable()) {
                tally.atOnce++;
                to.accept(new Reply(null, -1, false));
                return;
            }
            Copy mine = own.get(object);
            if (mine != null
                    && came - mine.mintedMs() * MS <= FRESH
                    && (bound.isBounded() || mine.mintedMs() * MS >= purge)
                    && pins.accepts(came, bound, mine.mintedMs() * MS)) {
                to.accept(new Reply(mine, 0, true));
                return;
            }
            if (!pins.requiresOriginResponse(came, bound)) {
                attempt(hint, object, bound, purge, 0, to);
            } else if (BoundedStalenessReads.mayReadOrigin(learning)) {
                learning++;
                tally.learning++;
                attempt(hint, object, bound, purge, 0, reply -> {
                    learning--;
                    to.accept(reply);
                });
            } else {
                tally.atOnce++;
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
            long picked = pins.preferredReplica(sent, hint, object, 0, order, bound);
            long node = picked != 0 ? picked : order.get(0);
            long parent = 101 + object % PARENTS;
            boolean only = pins.requiresOriginResponse(sent, bound);
            boolean byParent =
                    tries == 0 && !only && (!bound.isBounded() || pins.mayBeAcceptable(sent, object, 0, parent, bound));
            long limit = FRESH;
            long asked = pins.maxAgeUs(sent, object, 0, node, bound);
            limit = asked > 0 ? Math.min(limit, asked) : limit;
            limit = purge > 0 ? Math.min(limit, Math.max(1, sent - purge)) : limit;
            limit = tries > 0 || only ? 1 : limit;
            long fresh = Math.max(MS, limit);
            actions.add(now)
                    .add((long) me)
                    .add((long) object)
                    .add(node)
                    .add(byParent)
                    .add(fresh);
            int mine = life;
            boolean[] ended = new boolean[1];
            after(
                    300 * MS,
                    () -> run(() -> {
                        if (mine == life && !ended[0]) {
                            ended[0] = true;
                            again(hint, object, bound, purge, tries, null, to);
                        }
                    }));
            if (lost()) {
                return;
            }
            int itsLife = nodes.get(node).life;
            after(
                    way(),
                    () -> nodes.get(node)
                            .read(object, fresh, byParent ? parent : ORIGIN, tries == 0 && !only, answer -> {
                                if (lost() || itsLife != nodes.get(node).life) {
                                    return;
                                }
                                after(
                                        way(),
                                        () -> run(() -> {
                                            if (mine != life || ended[0]) {
                                                return;
                                            }
                                            ended[0] = true;
                                            answered(hint, object, bound, purge, tries, sent, node, answer, to);
                                        }));
                            }));
        }

        private void answered(
                ReadHint hint,
                int object,
                StalenessBound bound,
                long purge,
                int tries,
                long sent,
                long node,
                Answer answer,
                Consumer<Reply> to) {
            long got = clock();
            long minted = answer.copy().mintedMs() * MS;
            pins.responseReceived(sent, got, minted, answer.direct());
            pins.responseServed(got, hint, object, 0, node, minted);
            if (answer.parent() != 0) {
                pins.responseServed(got, ReadHint.NONE, object, 0, answer.parent(), minted);
            }
            if ((bound.isBounded() || minted >= purge) && pins.accepts(got, bound, minted)) {
                Copy held = own.get(object);
                if (held == null || held.mintedMs() < answer.copy().mintedMs()) {
                    own.put(object, answer.copy());
                }
                to.accept(new Reply(answer.copy(), 0, answer.hit()));
            } else {
                again(hint, object, bound, purge, tries, answer.copy(), to);
            }
        }

        private void again(
                ReadHint hint, int object, StalenessBound bound, long purge, int tries, Copy got, Consumer<Reply> to) {
            if (tries < 2) {
                attempt(hint, object, bound, purge, tries + 1, to);
            } else if (bound.strict() || got == null) {
                to.accept(new Reply(null, -1, false));
            } else {
                to.accept(new Reply(got, pins.violatingAgeMs(clock(), bound, got.mintedMs() * MS), false));
            }
        }

        void write(int object, Consumer<Reply> to) {
            long sent = clock();
            int mine = life;
            if (lost()) {
                return;
            }
            after(way() + way(), () -> {
                versions[object]++;
                written.get(object).add(originClock());
                Copy copy = new Copy(versions[object], originClock() / MS);
                after(
                        way() + way(),
                        () -> run(() -> {
                            if (mine == life) {
                                pins.writeAnswered(sent, clock(), copy.mintedMs() * MS);
                                to.accept(new Reply(copy, 0, false));
                            }
                        }));
            });
        }

        // ------------------------------------------------------------ who is there, as the membership would have it

        @Override
        public MemberStatus status(int front) {
            return fronts[front].alive ? MemberStatus.ALIVE : MemberStatus.DEAD;
        }

        @Override
        public PartitionVerdict verdict() {
            return PartitionVerdict.COMPLETE;
        }

        @Override
        public int zone(int front) {
            return 0;
        }

        @Override
        public List<Integer> runningMembers() {
            List<Integer> heard = new ArrayList<>();
            for (int i = 0; i < FRONTS; i++) {
                if (i != me && fronts[i] != null && fronts[i].alive && !cut[i][me]) {
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
            return FRONTS;
        }

        @Override
        public double quotaDivisorIn(long time, int zone) {
            return FRONTS;
        }

        @Override
        public int digest() {
            return 0;
        }
    }

    /** What a client gets: no copy, refused; aged other than 0: served with its age told. */
    private record Reply(Copy copy, long aged, boolean hit) {}

    // ---------------------------------------------------------------- sessions and the checker

    /** A client that reads and writes, and hands back the marks it was given. */
    private final class Session {
        final long id;
        int front;
        final Map<Integer, Long> marks = new HashMap<>();
        /** The newest version that was seen, by object. */
        final Map<Integer, Integer> seen = new HashMap<>();

        final int kind;
        int asks;

        Session(int number) {
            id = 1_000_000L + number;
            kind = number % 6;
            front = number % FRONTS;
        }

        void next() {
            int mine = ++asks;
            if (random.nextInt(20) == 0) {
                front = random.nextInt(FRONTS);
            }
            int object = 1 + Math.min(OBJECTS - 1, (int) (OBJECTS * random.nextDouble() * random.nextDouble()));
            after(PATIENCE, () -> {
                if (mine == asks) {
                    front = random.nextInt(FRONTS);
                    next();
                }
            });
            boolean writes = random.nextInt(16) == 0;
            ReadHint hint = hint(object);
            Front asked = fronts[front];
            after(way(), () -> {
                long came = originClock();
                if (!asked.alive) {
                    return;
                }
                if (writes) {
                    asked.run(() -> asked.write(object, reply -> after(way(), () -> wrote(mine, object, reply))));
                } else {
                    count(hint);
                    Map<Integer, Integer> before = new HashMap<>(seen);
                    asked.run(() -> asked.read(
                            hints == HintUse.NONE ? ReadHint.NONE : hint,
                            object,
                            reply -> after(
                                    way(),
                                    () -> read(mine, object, hint, came, before.getOrDefault(object, 0), reply))));
                }
            });
        }

        private ReadHint hint(int object) {
            long pin = hints == HintUse.PINS ? id : 0;
            long mark = marks.getOrDefault(object, 0L);
            long most = List.of(100L, 500L, 1_500L, 5_000L).get((int) (id / 6 % 4)) * MS;
            return switch (kind) {
                case 0, 1 -> new ReadHint(0, mark, pin, mark > 0);
                case 2 -> new ReadHint(most, 0, pin, true);
                case 3 -> new ReadHint(most, mark, pin, true);
                case 4 -> new ReadHint(most, mark, pin, false);
                default -> ReadHint.NONE;
            };
        }

        private void count(ReadHint hint) {
            tally.strict += hint.strict() ? 1 : 0;
            tally.preferred += hint.isBounded() && !hint.strict() ? 1 : 0;
        }

        private void wrote(int mine, int object, Reply reply) {
            if (mine != asks) {
                return;
            }
            seen.merge(object, reply.copy().version(), Math::max);
            marks.merge(object, BoundedStalenessReads.markOf(reply.copy().mintedMs() * MS, true), Math::max);
            again(reply);
        }

        private void read(int mine, int object, ReadHint hint, long came, int before, Reply reply) {
            if (mine != asks) {
                return;
            }
            if (reply.copy() == null) {
                tally.strictRefused += hint.strict() ? 1 : 0;
            } else {
                tally.answers++;
                tally.hits += reply.hit() ? 1 : 0;
                tally.strictServed += hint.strict() ? 1 : 0;
                tally.preferredOld += reply.aged() != 0 ? 1 : 0;
                if (hints != HintUse.NONE) {
                    check(object, hint, came, before, reply);
                }
                seen.merge(object, reply.copy().version(), Math::max);
                marks.merge(object, BoundedStalenessReads.markOf(reply.copy().mintedMs() * MS, false), Math::max);
            }
            actions.add(now)
                    .add(id)
                    .add(reply.copy() == null ? 0 : reply.copy().mintedMs())
                    .add(reply.aged());
            again(reply);
        }

        private void check(int object, ReadHint hint, long came, int before, Reply reply) {
            Copy copy = reply.copy();
            long age = came - copy.mintedMs() * MS;
            boolean promised = reply.aged() == 0 && hint.isBounded();
            if (promised && hint.atMostUs() > 0 && age > hint.atMostUs()
                    || promised && hint.afterMs() > 0 && copy.mintedMs() < hint.afterMs()) {
                tally.beyond.add(
                        now / MS + " ms: object " + object + ", " + hint + ", age " + age + " us, minted " + copy);
            }
            if (reply.aged() > 0 && hint.atMostUs() > 0 && age > reply.aged() * MS) {
                tally.odd.add(now / MS + " ms: told " + reply.aged() + " ms, age " + age + " us");
            }
            if (promised && hint.afterMs() > 0 && copy.version() < before) {
                long newer = written.get(object).get(copy.version() + 1);
                if (newer / MS == hint.afterMs()) {
                    tally.ties++;
                } else {
                    tally.back.add(
                            now / MS + " ms: object " + object + " fell from " + before + " to " + copy + ", " + hint);
                }
            }
            long oldest = copy.mintedMs() * MS;
            if (hint.strict()
                    && published.stream()
                            .anyMatch(one -> one[0] == object
                                    && one[1] > oldest
                                    && one[2] + 2_500 * MS + 200 * MS < came - originOff)) {
                tally.purged.add(now / MS + " ms: object " + object + " is older than a purge, " + hint);
            }
        }

        private void again(Reply reply) {
            asks++;
            if (reply.copy() == null) {
                front = random.nextInt(FRONTS);
            }
            after(reply.copy() == null ? 300 * MS : 30 * MS + random.nextLong(250 * MS), this::next);
        }
    }
}
