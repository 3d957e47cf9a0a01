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
    static final int MAX_OPEN = 32;

    private static final int INITIAL_WINDOW = 8;
    /** us; so long a request taken back still counts in the window, which outlasts a burst read in one go. */
    private static final long CANCELLED_HOLD_US = 50_000;
    /** us; the longest that a request waits here for the window: short against every class's aim. */
    private static final long MAX_QUEUE_US = 150_000;

    private record Queued(long tag, PendingRequest request, long expiresAt) {}

    /** A request by its number on the connection. */
    record Tagged(long tag, PendingRequest request) {}

    private final Cancellations cancellations;
    private final RequestAdmission admission;
    private final Map<Long, PendingRequest> open = new HashMap<>();
    private final Map<PendingRequest, Long> tags = new HashMap<>();
    private final ArrayDeque<Queued> queue = new ArrayDeque<>();
    private final ArrayDeque<Long> cancelledHolds = new ArrayDeque<>();
    private int inEngine;
    private int window = INITIAL_WINDOW;

    RequestWindow(Engine engine, RequestAdmission admission) {
        this.cancellations = new Cancellations(engine);
        this.admission = admission;
    }

    /** What the client gave up, for the connection's reader too. */
    Cancellations cancellations() {
        return cancellations;
    }

    boolean isEmpty() {
        return open.isEmpty();
    }

    boolean isFull() {
        return open.size() >= MAX_OPEN;
    }

    boolean contains(long tag) {
        return open.containsKey(tag);
    }

    /** Takes a request, which the engine gets once the window has room. */
    void add(long tag, PendingRequest request, long now) {
        open.put(tag, request);
        tags.put(request, tag);
        updateOpenCount();
        queue.addLast(new Queued(
                tag,
                request,
                now + Math.min(MAX_QUEUE_US, request.clientRequest().timeBudgetUs() / 4)));
        admit();
    }

    /** Gives the engine what the window has room for. */
    void admit() {
        while (!queue.isEmpty() && inEngine + cancelledHolds.size() < window) {
            inEngine++;
            Queued next = queue.pollFirst();
            cancellations.submit(next.tag(), next.request());
        }
    }

    /** The client gave a request up; the request, where it never came to the engine, and else null. */
    PendingRequest cancel(long tag, long now) {
        cancellations.processed(tag);
        PendingRequest request = open.remove(tag);
        if (request == null) {
            return null;
        }
        tags.remove(request);
        updateOpenCount();
        if (queue.removeIf(each -> each.request() == request)) {
            return request;
        }
        inEngine--;
        cancelledHolds.addLast(now + CANCELLED_HOLD_US);
        cancellations.cancelInEngine(tag, request);
        return null;
    }

    /** The number of a request that the engine has answered; null where nobody waits for it any more. */
    Long answered(PendingRequest request) {
        Long tag = tags.get(request);
        if (tag == null || cancellations.contains(tag)) {
            return null;
        }
        tags.remove(request);
        open.remove(tag);
        cancellations.answered(tag);
        inEngine--;
        return tag;
    }

    /** A request was served, and its answer written: one more may be with the engine. */
    void grow() {
        window = Math.min(MAX_OPEN, window + 1);
    }

    /** What has ended is owed no more: only behind its answer, as a front that ends waits for what is being written. */
    void updateOpenCount() {
        admission.setOpenRequests(open.size());
    }

    /** Us; when there is something to look at; {@link Long#MAX_VALUE} for never. */
    long nextAt() {
        return Math.min(
                cancelledHolds.isEmpty() ? Long.MAX_VALUE : cancelledHolds.peekFirst(),
                queue.isEmpty() ? Long.MAX_VALUE : queue.peekFirst().expiresAt());
    }

    /** Lets those in that have room now, and takes those out that have waited too long for it. */
    List<Tagged> overdue(long now) {
        while (!cancelledHolds.isEmpty() && cancelledHolds.peekFirst() <= now) {
            cancelledHolds.pollFirst();
        }
        admit();
        List<Tagged> overdue = new ArrayList<>();
        while (!queue.isEmpty() && queue.peekFirst().expiresAt() <= now) {
            Queued first = queue.pollFirst();
            open.remove(first.tag());
            tags.remove(first.request());
            overdue.add(new Tagged(first.tag(), first.request()));
        }
        return overdue;
    }

    /** Takes all out that the engine never got: their bodies are still the connection's. */
    List<PendingRequest> dropQueued() {
        List<PendingRequest> dropped = new ArrayList<>();
        for (Queued each : queue) {
            dropped.add(each.request());
        }
        queue.clear();
        return dropped;
    }

    /** Takes all out, and tells the engine of those that it has; those are returned for which the client waits. */
    List<Tagged> dropAll() {
        List<Tagged> dropped = new ArrayList<>();
        open.forEach((tag, request) -> {
            cancellations.cancelInEngine(tag, request);
            if (!cancellations.contains(tag)) {
                dropped.add(new Tagged(tag, request));
            }
        });
        open.clear();
        tags.clear();
        inEngine = 0;
        return dropped;
    }
}
