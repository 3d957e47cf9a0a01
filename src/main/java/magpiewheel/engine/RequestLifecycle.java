package magpiewheel.engine;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongFunction;
import magpiewheel.routing.AttemptOutcome;
import magpiewheel.routing.AttemptPlan;
import magpiewheel.routing.AttemptResult;
import magpiewheel.routing.CacheStatus;
import magpiewheel.routing.DeliveryDecision;
import magpiewheel.routing.LocalCopy;
import magpiewheel.routing.RequestClass;
import magpiewheel.routing.RoutingPolicy;
import magpiewheel.routing.RoutingRequest;
import magpiewheel.routing.RoutingSettings;
import magpiewheel.staleness.ReadHint;

/**
 * The life of every request from when it was taken until its last attempt has ended, on the module's actor. It owns the
 * promise that what was taken gets exactly one final answer.
 */
final class RequestLifecycle {
    private static final int MOST_OPEN = 2_048;
    /** us; what is not answered this long past its deadline is failed here, inside the 50 ms of slack. */
    private static final long OVERDUE_US = 20_000;

    private static final long PAUSE_US = 300_000;
    /** Telling a client that its copy holds costs this part of the transfer. */
    private static final int HOLDS_PART = 20;

    private final UnixClock clock;
    private final Timers timers;
    private final ResponseCache copies;
    private final Counters counters;
    private final Upstream upstream;
    private final LongFunction<ListedEndpoint> listed;
    private final Map<Long, PendingRequest> calls = new HashMap<>();
    private final Set<String> traces = new HashSet<>();
    private final int mostOpen;
    private final long pauseUs;
    private final List<RequestClass> profiles;
    private RoutingPolicy director;
    private AttemptListener watch = (ask, target, source, result, note, sentAt, endedAt, octets) -> {};
    private long lastId;
    private volatile int open;

    /** Requests by these settings; {@code listed} gives a node of the list by its id, or null. */
    RequestLifecycle(
            RoutingSettings settings,
            UnixClock clock,
            Timers timers,
            Counters counters,
            Upstream upstream,
            ResponseCache copies,
            LongFunction<ListedEndpoint> listed) {
        this.clock = clock;
        this.timers = timers;
        this.counters = counters;
        this.upstream = upstream;
        this.copies = copies;
        this.listed = listed;
        this.profiles = settings.requestClasses();
        this.mostOpen = Math.min(settings.limits().maxInFlight(), MOST_OPEN);
        this.pauseUs = settings.limits().retryAfterUs(PAUSE_US);
    }

    /** Names the module that is asked; before anything else. */
    void module(RoutingPolicy asked) {
        director = asked;
    }

    /** Sets who sees every attempt end. */
    void watch(AttemptListener watcher) {
        watch = watcher;
    }

    /** How long a client is asked to stay away where the front itself turns it away; 0 where that may not be said. */
    long pauseUs() {
        return pauseUs;
    }

    /** Requests taken and not yet answered; for other threads, too. */
    int open() {
        return open;
    }

    /** Takes a request, or answers it at once where there is no room. */
    void taken(PendingRequest call) {
        long now = clock.now();
        PendingRequest.Ask ask = call.ask;
        if (call.abandoned()) {
            leftEarly(call);
            return;
        }
        if (calls.size() >= mostOpen) {
            answer(call, PendingRequest.Answer.refused(pauseUs));
            return;
        }
        if (now >= call.deadline) {
            answer(call, outOfTime(now, call));
            return;
        }
        if (!traces.add(ask.trace())) {
            // Nodes tell attempts apart by the trace: two that are out under one could get each other's answers.
            counters.add(Counter.BAD_REQUESTS);
            answer(call, PendingRequest.Answer.failed());
            return;
        }
        call.id = ++lastId;
        calls.put(call.id, call);
        open = calls.size();
        call.overdueTimer = timers.at(call.deadline + OVERDUE_US, () -> overdue(call));
        boolean write = profiles.get(ask.profile()).write();
        if (!write && !ask.hint().equals(ReadHint.NONE)) {
            counters.add(Counter.HINTED);
        }
        director.requestArrived(
                now,
                RoutingRequest.builder(call.id, ask.profile(), Engine.number(ask.object()))
                        .group(ask.group())
                        .sizeKb(ask.kbytes())
                        .timeBudgetUs(call.deadline - now)
                        .part(ask.part())
                        .write(write)
                        .hint(ask.hint())
                        .build(),
                write ? null : own(now, call));
    }

    /** What this front holds itself of what is asked for; held on to until the request is over. */
    private LocalCopy own(long now, PendingRequest call) {
        ResponseCache.Copy copy = copies.find(call.ask);
        if (copy == null) {
            return null;
        }
        copy.body().retain();
        call.own = copy;
        int bytes = unchanged(call)
                ? copy.body().length() / HOLDS_PART
                : copy.body().length();
        return new LocalCopy(Math.max(0, now - copy.mintedMs() * 1_000), copies.flowUs(bytes), copies.linkUs(bytes));
    }

    /** Whether the client's copy is the one that is held here, too. */
    private static boolean unchanged(PendingRequest call) {
        return call.own.tag().equals(call.ask.held());
    }

    private static void letGo(PendingRequest call) {
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
    private void overdue(PendingRequest call) {
        if (call.answered) {
            return;
        }
        counters.add(Counter.OVERDUE);
        long now = clock.now();
        for (Attempt attempt : List.copyOf(call.attempts)) {
            if (!attempt.ended && !call.answered) {
                AttemptResult result =
                        attempt.calledOff() && !attempt.timedOut ? AttemptResult.CANCELLED : AttemptResult.TIMEOUT;
                director.attemptEnded(
                        now,
                        AttemptOutcome.builder(call.id, attempt.index, attempt.node(), result)
                                .durationUs(now - attempt.sentAt())
                                .build());
            }
        }
        if (!call.answered) {
            answer(call, outOfTime(clock.now(), call));
            director.clientDisconnected(clock.now(), call.id);
            forget(call);
        }
    }

    /**
     * Failed; but refused where only the front's own end took the time, and nothing was sent: another front may serve
     * it.
     */
    private PendingRequest.Answer outOfTime(long now, PendingRequest call) {
        return call.attempts.isEmpty() && call.deadline < call.patientUntil && now < call.patientUntil
                ? PendingRequest.Answer.refused(pauseUs)
                : PendingRequest.Answer.failed();
    }

    /** The client left before the module heard of its request: it never does. */
    private void leftEarly(PendingRequest call) {
        counters.add(Counter.GIVEN_UP_BY_CLIENT);
        call.answered = true;
        forget(call);
    }

    /** The client of a request has left. */
    void left(PendingRequest call) {
        if (!call.answered) {
            counters.add(Counter.GIVEN_UP_BY_CLIENT);
            call.answered = true;
            letGo(call);
            director.clientDisconnected(clock.now(), call.id);
            forget(call);
        }
    }

    private void answer(PendingRequest call, PendingRequest.Answer answer) {
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

    private void forget(PendingRequest call) {
        if (call.answered && call.open == 0) {
            if (calls.remove(call.id, call)) {
                open = calls.size();
                traces.remove(call.ask.trace());
                call.overdueTimer.cancel();
            }
            if (call.ask.body() != null && !call.bodyFreed) {
                call.bodyFreed = true;
                call.ask.body().release();
            }
        }
    }

    /** An attempt has ended. */
    void ending(Attempt attempt, UpstreamOutcome outcome) {
        PendingRequest call = attempt.call();
        if (attempt.ended) {
            if (outcome.body() != null) {
                outcome.body().release();
            }
            return;
        }
        attempt.ended = true;
        if (attempt.stopTimer != null) {
            attempt.stopTimer.cancel();
        }
        call.open--;
        if (call.abandoned()) {
            // The word of it may be behind this one: the module must not try again for nobody.
            left(call);
        }
        AttemptResult result = outcome.result() == AttemptResult.CANCELLED && attempt.timedOut
                ? AttemptResult.TIMEOUT
                : outcome.result();
        long now = clock.now();
        int octets = outcome.body() == null ? 0 : outcome.body().length();
        long minted = result != AttemptResult.OK ? 0 : outcome.mintedMs() > 0 ? outcome.mintedMs() : -1;
        long at = Math.min(now, Math.max(attempt.sentAt(), outcome.atUs()));
        if (result == AttemptResult.OK) {
            director.boundedReads().responseReceived(call.id, attempt.index, at, outcome.note(), minted);
            result = passOn(now, call, outcome, minted) ? AttemptResult.OK : AttemptResult.MISS;
        }
        count(result, outcome.unchanged());
        watch.ended(
                call.ask,
                listed.apply(attempt.node()),
                listed.apply(attempt.plan().fillSource()),
                result,
                outcome.note(),
                attempt.sentAt(),
                now,
                octets);
        director.attemptEnded(
                now,
                AttemptOutcome.builder(call.id, attempt.index, attempt.node(), result)
                        .durationUs(at - attempt.sentAt())
                        .requestCompleted(call.answered)
                        .cacheStatus(outcome.note())
                        .firstByteUs(outcome.firstByteUs())
                        .originTimeMs(minted)
                        .build());
        forget(call);
    }

    /** Passes an answer on, if its copy will do; else nothing of it is kept, and to the module its cache lacked it. */
    private boolean passOn(long now, PendingRequest call, UpstreamOutcome outcome, long mintedMs) {
        DeliveryDecision passing = director.evaluateDelivery(now, call.id, mintedMs);
        if (!passing.deliver()) {
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
                new PendingRequest.Answer(
                        outcome.unchanged() ? PendingRequest.End.UNCHANGED : PendingRequest.End.SERVED,
                        outcome.body(),
                        outcome.tag(),
                        0,
                        false,
                        outcome.note(),
                        passing.markMs(),
                        passing.ageMs()));
        return true;
    }

    private void count(AttemptResult result, boolean unchanged) {
        counters.add(
                switch (result) {
                    case OK -> unchanged ? Counter.KEPT : Counter.DONE;
                    case MISS -> Counter.LACKED;
                    case REJECTED -> Counter.TURNED_AWAY;
                    case ERROR -> Counter.ERRORS;
                    case EXPIRED -> Counter.PAST;
                    case TIMEOUT -> Counter.TIMED_OUT;
                    case CANCELLED -> Counter.CANCELLED;
                    case UNREACHABLE -> Counter.DIALS_FAILED;
                    case CONNECTION_LOST -> Counter.NODE_BROKEN;
                    case CORRUPT -> Counter.SPOILT;
                });
    }

    // ---------------------------------------------------------------- what the module asks for

    /** An attempt of a request is to go to a node. */
    void attempt(long request, long node, AttemptPlan plan) {
        PendingRequest call = calls.get(request);
        if (call == null || call.answered) {
            return;
        }
        long now = clock.now();
        long stop = plan.deadlineUs() > 0 ? Math.min(plan.deadlineUs(), call.deadline) : call.deadline;
        Attempt attempt = new Attempt(call, call.attempts.size(), node, plan, now, stop);
        call.attempts.add(attempt);
        call.open++;
        counters.add(Counter.ATTEMPTS);
        if (call.abandoned()) {
            timers.afterwards(() -> ending(attempt, UpstreamOutcome.of(AttemptResult.CANCELLED)));
            return;
        }
        if (!upstream.send(attempt)) {
            timers.afterwards(() -> ending(attempt, UpstreamOutcome.of(AttemptResult.REJECTED)));
            return;
        }
        attempt.stopTimer = timers.at(stop, () -> {
            attempt.timedOut = !attempt.ended && !attempt.calledOff();
            callOff(attempt);
        });
    }

    /** An attempt is to be called off. */
    void cancel(long request, int attempt) {
        PendingRequest call = calls.get(request);
        if (call != null && attempt < call.attempts.size()) {
            callOff(call.attempts.get(attempt));
        }
    }

    /** The front's own copy is to be served. */
    void serveOwn(long request) {
        PendingRequest call = calls.get(request);
        if (call != null && call.own != null && !call.answered) {
            DeliveryDecision passing = director.evaluateDelivery(clock.now(), request, call.own.mintedMs());
            if (!passing.deliver()) {
                counters.add(Counter.REFUSED_BY_HINT);
                answer(call, PendingRequest.Answer.refused(pauseUs));
                return;
            }
            counters.add(Counter.OWN_COPIES);
            boolean unchanged = unchanged(call);
            if (!unchanged) {
                call.own.body().retain();
            }
            answer(
                    call,
                    new PendingRequest.Answer(
                            unchanged ? PendingRequest.End.UNCHANGED : PendingRequest.End.SERVED,
                            unchanged ? null : call.own.body(),
                            call.own.tag(),
                            0,
                            true,
                            CacheStatus.UNKNOWN,
                            passing.markMs(),
                            passing.ageMs()));
        }
    }

    /** A request is to be refused. */
    void refuse(long request, long backoffUs) {
        counters.add(Counter.REFUSED_BY_HINT, director.boundedReads().isUnproven(request) ? 1 : 0);
        end(request, PendingRequest.Answer.refused(backoffUs));
    }

    /** A request is to be failed. */
    void fail(long request) {
        PendingRequest call = calls.get(request);
        if (call != null) {
            answer(call, outOfTime(clock.now(), call));
        }
    }

    private void end(long request, PendingRequest.Answer answer) {
        PendingRequest call = calls.get(request);
        if (call != null) {
            answer(call, answer);
        }
    }

    private void callOff(Attempt attempt) {
        if (!attempt.ended && attempt.callOff()) {
            upstream.cancel(attempt);
        }
    }
}
