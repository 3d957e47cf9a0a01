package magpiewheel.resp;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import magpiewheel.engine.Engine;
import magpiewheel.engine.PendingRequest;

/**
 * The requests open on one connection, for its actor. Only so many are with the engine at once: a burst, or hundreds of
 * requests taken back at once, must not reach the nodes in place of others' requests. The window grows with each
 * request served; the others wait for it.
 */
final class RequestWindow {
    /** As many as the protocol lets be open on a connection. */
    static final int MOST_OPEN = 32;

    private static final int FIRST_WINDOW = 8;
    /** us; so long a request taken back still counts in the window, which outlasts a burst read in one go. */
    private static final long TAKEN_BACK_US = 50_000;
    /** us; the longest that a request waits here for the window: short against every class's aim. */
    private static final long WAIT_US = 150_000;

    private record Waiting(long tag, PendingRequest call, long until) {}

    /** A request by its number on the connection. */
    record Numbered(long tag, PendingRequest call) {}

    private final Cancellations withdrawals;
    private final RequestAdmission intake;
    private final Map<Long, PendingRequest> open = new HashMap<>();
    private final Map<PendingRequest, Long> tags = new HashMap<>();
    private final ArrayDeque<Waiting> waiting = new ArrayDeque<>();
    private final ArrayDeque<Long> takenBack = new ArrayDeque<>();
    private int inModule;
    private int window = FIRST_WINDOW;

    RequestWindow(Engine engine, RequestAdmission intake) {
        this.withdrawals = new Cancellations(engine);
        this.intake = intake;
    }

    /** What the client gave up, for the connection's reader too. */
    Cancellations withdrawals() {
        return withdrawals;
    }

    boolean isEmpty() {
        return open.isEmpty();
    }

    boolean isFull() {
        return open.size() >= MOST_OPEN;
    }

    boolean contains(long tag) {
        return open.containsKey(tag);
    }

    /** Takes a request, which the engine gets once the window has room. */
    void add(long tag, PendingRequest call, long now) {
        open.put(tag, call);
        tags.put(call, tag);
        ended();
        waiting.addLast(new Waiting(
                tag, call, now + Math.min(WAIT_US, call.clientRequest().timeBudgetUs() / 4)));
        admit();
    }

    /** Gives the engine what the window has room for. */
    void admit() {
        while (!waiting.isEmpty() && inModule + takenBack.size() < window) {
            inModule++;
            Waiting next = waiting.pollFirst();
            withdrawals.take(next.tag(), next.call());
        }
    }

    /** The client gave a request up; the request, where it never came to the engine, and else null. */
    PendingRequest takeBack(long tag, long now) {
        withdrawals.workedOff(tag);
        PendingRequest call = open.remove(tag);
        if (call == null) {
            return null;
        }
        tags.remove(call);
        ended();
        if (waiting.removeIf(each -> each.call() == call)) {
            return call;
        }
        inModule--;
        takenBack.addLast(now + TAKEN_BACK_US);
        withdrawals.giveUp(tag, call);
        return null;
    }

    /** The number of a request that the engine has answered; null where nobody waits for it any more. */
    Long answered(PendingRequest call) {
        Long tag = tags.get(call);
        if (tag == null || withdrawals.contains(tag)) {
            return null;
        }
        tags.remove(call);
        open.remove(tag);
        withdrawals.answered(tag);
        inModule--;
        return tag;
    }

    /** A request was served, and its answer written: one more may be with the engine. */
    void grow() {
        window = Math.min(MOST_OPEN, window + 1);
    }

    /** What has ended is owed no more: only behind its answer, as a front that ends waits for what is being written. */
    void ended() {
        intake.open(open.size());
    }

    /** Us; when there is something to look at; {@link Long#MAX_VALUE} for never. */
    long nextAt() {
        return Math.min(
                takenBack.isEmpty() ? Long.MAX_VALUE : takenBack.peekFirst(),
                waiting.isEmpty() ? Long.MAX_VALUE : waiting.peekFirst().until());
    }

    /** Lets those in that have room now, and takes those out that have waited too long for it. */
    List<Numbered> overdue(long now) {
        while (!takenBack.isEmpty() && takenBack.peekFirst() <= now) {
            takenBack.pollFirst();
        }
        admit();
        List<Numbered> overdue = new ArrayList<>();
        while (!waiting.isEmpty() && waiting.peekFirst().until() <= now) {
            Waiting first = waiting.pollFirst();
            open.remove(first.tag());
            tags.remove(first.call());
            overdue.add(new Numbered(first.tag(), first.call()));
        }
        return overdue;
    }

    /** Takes all out that the engine never got: their bodies are still the connection's. */
    List<PendingRequest> dropWaiting() {
        List<PendingRequest> dropped = new ArrayList<>();
        for (Waiting each : waiting) {
            dropped.add(each.call());
        }
        waiting.clear();
        return dropped;
    }

    /** Takes all out, and tells the engine of those that it has; those are returned for which the client waits. */
    List<Numbered> dropAll() {
        List<Numbered> dropped = new ArrayList<>();
        open.forEach((tag, call) -> {
            withdrawals.giveUp(tag, call);
            if (!withdrawals.contains(tag)) {
                dropped.add(new Numbered(tag, call));
            }
        });
        open.clear();
        tags.clear();
        inModule = 0;
        return dropped;
    }
}
