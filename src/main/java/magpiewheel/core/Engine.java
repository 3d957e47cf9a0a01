package magpiewheel.core;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import magpiewheel.module.Director;
import magpiewheel.module.Director.Actions;
import magpiewheel.module.Director.Plan;
import magpiewheel.module.Director.Result;
import magpiewheel.pins.Hint;

/**
 * The module's actor: it holds the module, its timers and the life of every request, and owns the promise that what was
 * taken gets exactly one final answer. It knows no wire.
 *
 * <p>A full mailbox turns requests away and drops peers' messages; nodes, the list and leaving clients wait.
 */
public final class Engine extends Actor {
    /** Sends messages to other fronts; called on the module's actor, so it must not wait. */
    public interface Peers {
        /** One message to one front. */
        void tell(int recipient, byte[] message);

        /** Whether anybody listens at a front's address; an answer, if one comes, is {@link Engine#refused}. */
        default void knock(int recipient, long at) {}
    }

    private static final int MAILBOX = 4_096;
    private static final int MOST_OPEN = 2_048;
    /** us; what is not answered this long past its deadline is failed here, inside the 50 ms of slack. */
    private static final long OVERDUE_US = 20_000;

    private static final long PAUSE_US = 300_000;
    /** us; operators' figures may be half a second old. */
    private static final long SHOW_US = 150_000;
    /** Telling a client that its copy holds costs this part of the transfer. */
    private static final int HOLDS_PART = 20;
    /** The module reads object 0 as a whole group, so an object of that number goes by another. */
    private static final long ZERO_OBJECT = 0x5bd1e9955bd1e995L;

    /** One that is called off lets go of its action at once: requests are answered long before their deadline. */
    static final class Timer implements Comparable<Timer> {
        private final long at;
        private final long order;
        private Runnable action;

        Timer(long at, long order, Runnable action) {
            this.at = at;
            this.order = order;
            this.action = action;
        }

        @Override
        public int compareTo(Timer other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
        }
    }

    private final UnixClock clock;
    private final OwnCopies copies;
    private final Counters counters;
    private final Upstream upstream;
    private final Peers peers;
    private final Director director;
    private final PriorityQueue<Timer> timers = new PriorityQueue<>();
    private final ArrayDeque<Runnable> after = new ArrayDeque<>();
    private final Map<Long, Call> calls = new HashMap<>();
    private final Set<String> traces = new HashSet<>();
    private final Map<Long, Listed> listed = new HashMap<>();
    private AttemptWatch watch = (ask, target, source, result, note, sentAt, endedAt, octets) -> {};
    private final int mostOpen;
    private final long pauseUs;
    private final List<Director.Profile> profiles;
    private long timerOrder;
    private long lastId;
    private volatile int open;
    private volatile boolean nodesReady;

    /** An engine for the module that the function makes from the engine's actions. */
    public Engine(
            Director.Settings settings,
            Function<Actions, Director> module,
            UnixClock clock,
            Counters counters,
            Upstream upstream,
            Peers peers,
            OwnCopies copies) {
        super("module", MAILBOX, counters);
        this.clock = clock;
        this.counters = counters;
        this.upstream = upstream;
        this.peers = peers;
        this.copies = copies;
        this.profiles = settings.profiles();
        this.mostOpen = Math.min(settings.limits().maxOpen(), MOST_OPEN);
        this.pauseUs =
                settings.limits().retryAfter() ? Math.min(settings.limits().maxRetryAfterUs(), PAUSE_US) : 0;
        this.director = module.apply(new ModuleActions());
    }

    /** Sets who sees every attempt end; only before the start. */
    public void watch(AttemptWatch watcher) {
        watch = watcher;
    }

    /** Keeps the figures of the nodes up to date; only before the start. */
    public void show(Figures figures) {
        at(clock.now() + SHOW_US, () -> {
            figures.nodes(listed.size(), director.avoided(clock.now()));
            figures.fleet(
                    director.view().verdict().ordinal(), director.view().heard().size());
            figures.parts(director.figures(clock.now()));
            show(figures);
        });
    }

    // ---------------------------------------------------------------- what others tell it

    /** Takes a request, or answers it at once where there is no room. */
    public void take(Call call) {
        counters.add(Counter.REQUESTS);
        if (!offer(() -> taken(call))) {
            // This is the asker's thread: nothing of the module's actor may be touched here.
            counters.add(Counter.MAILBOX_FULL);
            counters.add(Counter.REFUSED);
            if (call.ask.body() != null) {
                call.ask.body().release();
            }
            call.asker.answer(call, Call.Answer.refused(pauseUs));
        }
    }

    /** The client no longer waits; no answer is owed. */
    public void gone(Call call) {
        put(() -> left(call));
    }

    /** An attempt has ended. */
    public void ended(Attempt attempt, Outcome outcome) {
        if (!put(() -> ending(attempt, outcome)) && outcome.body() != null) {
            outcome.body().release();
        }
    }

    /** The list of nodes has changed. */
    public void members(Director.ListMode mode, List<Listed> nodes) {
        put(() -> {
            upstream.listed(nodes, mode != Director.ListMode.DELTA);
            if (mode != Director.ListMode.DELTA) {
                listed.clear();
            }
            for (Listed node : nodes) {
                if (node.member().state() == Director.State.GONE) {
                    listed.remove(node.member().node());
                } else {
                    listed.put(node.member().node(), node);
                }
            }
            director.members(
                    clock.now(), mode, nodes.stream().map(Listed::member).toList());
            nodesReady = listed.values().stream().anyMatch(node -> node.member().state() == Director.State.READY);
        });
    }

    /** A purge was made at a Unix millisecond: of an object, or with null of the whole group. */
    public void purged(Long object, int group, long atMs) {
        put(() -> {
            long now = clock.now();
            // A purge stamped ahead of this clock counts as made now.
            long ago = Math.max(0, now - atMs * 1000);
            copies.purge(object, group);
            director.purged(now, new Director.Purge(ago, object == null ? 0 : number(object), group, atMs));
        });
    }

    /** The board was heard at a time, with all that it told before. */
    public void boardHeard(long at) {
        put(() -> director.reads().board(Math.min(clock.now(), at)));
    }

    /** A message from another front. */
    public void heard(int sender, byte[] message) {
        if (!offer(() -> director.peer(clock.now(), sender, message))) {
            counters.add(Counter.PEER_DROPPED);
        }
    }

    /** The machine of another front said that nobody listens there. */
    public void refused(int front, long askedAt) {
        offer(() -> director.refused(clock.now(), front, askedAt));
    }

    /** The front may be named to clients from now on. */
    public void announce() {
        put(() -> director.serving(clock.now(), true));
    }

    /** The front wants no more clients: the others are told at once, and again with each beat. */
    public void leave() {
        put(() -> director.serving(clock.now(), false));
    }

    /**
     * Calls back once with IPv4 addresses, on the module's actor: those of a zone's live fronts or, for an object, of
     * the cache that the module would pick. Empty where nothing lives.
     */
    public void lookup(int zone, Long object, Consumer<List<Integer>> reply) {
        if (!offer(() -> reply.accept(found(zone, object)))) {
            counters.add(Counter.MAILBOX_FULL);
            reply.accept(List.of());
        }
    }

    private List<Integer> found(int zone, Long object) {
        long now = clock.now();
        if (object == null) {
            return director.view().addresses(zone);
        }
        Listed node = listed.get(director.lookup(now, zone, number(object)));
        return node == null ? List.of() : List.of(node.address());
    }

    /** Ends the actor and lets go of all nodes but these. */
    public void end(List<Listed> left) {
        put(() -> upstream.listed(left, true));
        stop();
    }

    /** The time by the clock that everything here goes by. */
    public long now() {
        return clock.now();
    }

    /** How long a client is asked to stay away where the front itself turns it away; 0 where that may not be said. */
    public long pauseUs() {
        return pauseUs;
    }

    /** Requests taken and not yet answered. */
    public int open() {
        return open;
    }

    /** Whether it knows of a node that requests may be sent to. */
    public boolean ready() {
        return nodesReady;
    }

    private static long number(long object) {
        return object == 0 ? ZERO_OBJECT : object;
    }

    // ---------------------------------------------------------------- the life of a request

    private void taken(Call call) {
        long now = clock.now();
        Call.Ask ask = call.ask;
        if (calls.size() >= mostOpen) {
            answer(call, Call.Answer.refused(pauseUs));
            return;
        }
        if (now >= call.deadline) {
            answer(call, outOfTime(now, call));
            return;
        }
        if (!traces.add(ask.trace())) {
            // Nodes tell attempts apart by the trace: two that are out under one could get each other's answers.
            counters.add(Counter.BAD_REQUESTS);
            answer(call, Call.Answer.failed());
            return;
        }
        call.id = ++lastId;
        calls.put(call.id, call);
        open = calls.size();
        call.overdueTimer = at(call.deadline + OVERDUE_US, () -> overdue(call));
        boolean write = profiles.get(ask.profile()).write();
        if (!write && !ask.hint().equals(Hint.NONE)) {
            counters.add(Counter.HINTED);
        }
        director.request(
                now,
                new Director.Request(
                        call.id,
                        ask.profile(),
                        0,
                        ask.group(),
                        ask.kbytes(),
                        call.deadline - now,
                        ask.part(),
                        number(ask.object()),
                        false,
                        write,
                        ask.hint()),
                write ? null : own(now, call));
    }

    /** What this front holds itself of what is asked for; held on to until the request is over. */
    private Director.Copy own(long now, Call call) {
        OwnCopies.Copy copy = copies.find(call.ask);
        if (copy == null) {
            return null;
        }
        copy.body().retain();
        call.own = copy;
        int bytes = unchanged(call)
                ? copy.body().length() / HOLDS_PART
                : copy.body().length();
        return new Director.Copy(
                Math.max(0, now - copy.mintedMs() * 1_000), copies.flowUs(bytes), copies.linkUs(bytes));
    }

    /** Whether the client's copy is the one that is held here, too. */
    private static boolean unchanged(Call call) {
        return call.own.tag().equals(call.ask.held());
    }

    private static void letGo(Call call) {
        if (call.own != null) {
            call.own.body().release();
            call.own = null;
        }
    }

    /**
     * The promise of one answer does not hang on nodes' connections, which may be late with the end of what was called
     * off: to the module it has ended now, so that it refuses what may be asked for again without harm. Nor does it
     * hang on the module: what that leaves open is failed here.
     */
    private void overdue(Call call) {
        if (call.answered) {
            return;
        }
        counters.add(Counter.OVERDUE);
        long now = clock.now();
        for (Attempt attempt : List.copyOf(call.attempts)) {
            if (!attempt.ended && !call.answered) {
                Result result = attempt.calledOff() && !attempt.timedOut ? Result.CANCELLED : Result.TIMEOUT;
                director.outcome(
                        now,
                        new Director.Outcome(
                                call.id,
                                attempt.index,
                                attempt.node(),
                                result,
                                now - attempt.sentAt(),
                                false,
                                Director.Note.NONE,
                                0,
                                new double[0]));
            }
        }
        if (!call.answered) {
            answer(call, outOfTime(clock.now(), call));
            director.clientGone(clock.now(), call.id);
            forget(call);
        }
    }

    /**
     * Failed; but refused where only the front's own end took the time, and nothing was sent: another front may serve
     * it.
     */
    private Call.Answer outOfTime(long now, Call call) {
        return call.attempts.isEmpty() && call.deadline < call.patientUntil && now < call.patientUntil
                ? Call.Answer.refused(pauseUs)
                : Call.Answer.failed();
    }

    private void left(Call call) {
        if (!call.answered) {
            counters.add(Counter.GIVEN_UP_BY_CLIENT);
            call.answered = true;
            letGo(call);
            director.clientGone(clock.now(), call.id);
            forget(call);
        }
    }

    private void answer(Call call, Call.Answer answer) {
        if (call.answered) {
            if (answer.body() != null) {
                answer.body().release();
            }
            return;
        }
        call.answered = true;
        counters.add(
                switch (answer.end()) {
                    case SERVED -> Counter.SERVED;
                    case UNCHANGED -> Counter.UNCHANGED;
                    case REFUSED -> Counter.REFUSED;
                    case FAILED -> Counter.FAILED;
                });
        counters.add(Counter.AGED, answer.agedMs() != 0 ? 1 : 0);
        call.asker.answer(call, answer);
        letGo(call);
        forget(call);
    }

    private void forget(Call call) {
        if (call.answered && call.open == 0) {
            if (calls.remove(call.id, call)) {
                open = calls.size();
                traces.remove(call.ask.trace());
                drop(call.overdueTimer);
            }
            if (call.ask.body() != null && !call.bodyFreed) {
                call.bodyFreed = true;
                call.ask.body().release();
            }
        }
    }

    private void ending(Attempt attempt, Outcome outcome) {
        Call call = attempt.call();
        if (attempt.ended) {
            if (outcome.body() != null) {
                outcome.body().release();
            }
            return;
        }
        attempt.ended = true;
        drop(attempt.stopTimer);
        call.open--;
        Result result = outcome.result() == Result.CANCELLED && attempt.timedOut ? Result.TIMEOUT : outcome.result();
        long now = clock.now();
        int octets = outcome.body() == null ? 0 : outcome.body().length();
        long minted = result != Result.OK ? 0 : outcome.mintedMs() > 0 ? outcome.mintedMs() : -1;
        long at = Math.min(now, Math.max(attempt.sentAt(), outcome.atUs()));
        if (result == Result.OK) {
            director.reads().came(call.id, attempt.index, at, outcome.note(), minted);
            result = passOn(now, call, outcome, minted) ? Result.OK : Result.MISS;
        }
        count(result, outcome.unchanged());
        watch.ended(
                call.ask,
                listed.get(attempt.node()),
                listed.get(attempt.plan().source()),
                result,
                outcome.note(),
                attempt.sentAt(),
                now,
                octets);
        director.outcome(
                now,
                new Director.Outcome(
                        call.id,
                        attempt.index,
                        attempt.node(),
                        result,
                        at - attempt.sentAt(),
                        call.answered,
                        outcome.note(),
                        outcome.firstByteUs(),
                        new double[0],
                        minted));
        forget(call);
    }

    /** Passes an answer on, if its copy will do; else nothing of it is kept, and to the module its cache lacked it. */
    private boolean passOn(long now, Call call, Outcome outcome, long mintedMs) {
        Director.Passing passing = director.admits(now, call.id, mintedMs);
        if (!passing.passes()) {
            if (outcome.body() != null) {
                outcome.body().release();
            }
            return false;
        }
        if (outcome.body() != null && outcome.tag() != null) {
            copies.keep(call.ask, outcome.body(), outcome.tag(), outcome.mintedMs());
        }
        answer(
                call,
                new Call.Answer(
                        outcome.unchanged() ? Call.End.UNCHANGED : Call.End.SERVED,
                        outcome.body(),
                        outcome.tag(),
                        0,
                        false,
                        outcome.note(),
                        passing.markMs(),
                        passing.agedMs()));
        return true;
    }

    private void count(Result result, boolean unchanged) {
        counters.add(
                switch (result) {
                    case OK -> unchanged ? Counter.KEPT : Counter.DONE;
                    case MISS -> Counter.LACKED;
                    case FULL -> Counter.TURNED_AWAY;
                    case ERROR -> Counter.ERRORS;
                    case MOOT -> Counter.PAST;
                    case TIMEOUT -> Counter.TIMED_OUT;
                    case CANCELLED -> Counter.CANCELLED;
                    case UNREACHED -> Counter.DIALS_FAILED;
                    case BROKEN -> Counter.NODE_BROKEN;
                    case SPOILT -> Counter.SPOILT;
                });
    }

    // ---------------------------------------------------------------- timers

    private Timer at(long time, Runnable action) {
        Timer timer = new Timer(time, ++timerOrder, action);
        timers.add(timer);
        return timer;
    }

    private static void drop(Timer timer) {
        if (timer != null) {
            timer.action = null;
        }
    }

    /** The next timer that still has something to do. */
    private Timer nextTimer() {
        while (!timers.isEmpty() && timers.peek().action == null) {
            timers.poll();
        }
        return timers.peek();
    }

    @Override
    protected long idleUs() {
        Timer next = nextTimer();
        return next == null ? -1 : Math.max(0, next.at - clock.now());
    }

    @Override
    protected void due() {
        runAfter();
        for (Timer next = nextTimer(); next != null && next.at <= clock.now(); next = nextTimer()) {
            timers.poll().action.run();
            runAfter();
        }
    }

    private void runAfter() {
        for (Runnable next = after.poll(); next != null; next = after.poll()) {
            next.run();
        }
    }

    private void callOff(Attempt attempt) {
        if (!attempt.ended && attempt.callOff()) {
            upstream.cancel(attempt);
        }
    }

    /** What the module asks for. The module is never called from inside one of its own calls. */
    private final class ModuleActions implements Actions {
        @Override
        public void attempt(long request, long node, Plan plan) {
            Call call = calls.get(request);
            if (call == null || call.answered) {
                return;
            }
            long now = clock.now();
            long stop = plan.stopAtUs() > 0 ? Math.min(plan.stopAtUs(), call.deadline) : call.deadline;
            Attempt attempt = new Attempt(call, call.attempts.size(), node, plan, now, stop);
            call.attempts.add(attempt);
            call.open++;
            counters.add(Counter.ATTEMPTS);
            if (!upstream.send(attempt)) {
                after.add(() -> ending(attempt, Outcome.of(Result.FULL)));
                return;
            }
            attempt.stopTimer = at(stop, () -> {
                attempt.timedOut = !attempt.ended && !attempt.calledOff();
                callOff(attempt);
            });
        }

        @Override
        public void cancel(long request, int attempt) {
            Call call = calls.get(request);
            if (call != null && attempt < call.attempts.size()) {
                callOff(call.attempts.get(attempt));
            }
        }

        @Override
        public void own(long request) {
            Call call = calls.get(request);
            if (call != null && call.own != null && !call.answered) {
                Director.Passing passing = director.admits(clock.now(), request, call.own.mintedMs());
                if (!passing.passes()) {
                    counters.add(Counter.REFUSED_BY_HINT);
                    answer(call, Call.Answer.refused(pauseUs));
                    return;
                }
                counters.add(Counter.OWN_COPIES);
                boolean unchanged = unchanged(call);
                if (!unchanged) {
                    call.own.body().retain();
                }
                answer(
                        call,
                        new Call.Answer(
                                unchanged ? Call.End.UNCHANGED : Call.End.SERVED,
                                unchanged ? null : call.own.body(),
                                call.own.tag(),
                                0,
                                true,
                                Director.Note.NONE,
                                passing.markMs(),
                                passing.agedMs()));
            }
        }

        @Override
        public void refuse(long request, long backoffUs) {
            counters.add(Counter.REFUSED_BY_HINT, director.reads().unproven(request) ? 1 : 0);
            end(request, Call.Answer.refused(backoffUs));
        }

        @Override
        public void fail(long request) {
            Call call = calls.get(request);
            if (call != null) {
                answer(call, outOfTime(clock.now(), call));
            }
        }

        private void end(long request, Call.Answer answer) {
            Call call = calls.get(request);
            if (call != null) {
                answer(call, answer);
            }
        }

        @Override
        public void timer(long atUs, long handle) {
            at(atUs, () -> director.timer(clock.now(), handle));
        }

        @Override
        public void probe(long node) {
            // Nodes are never probed on this platform; the module knows from its settings.
        }

        @Override
        public void tell(int recipient, byte[] message) {
            peers.tell(recipient, message);
        }

        @Override
        public void knock(int recipient, long at) {
            peers.knock(recipient, at);
        }

        @Override
        public void subscribe(boolean on) {
            // The board sends its changes unasked.
        }

        @Override
        public void fetchList() {
            // Likewise.
        }

        @Override
        public void log(String line) {
            System.err.println(line);
        }
    }
}
