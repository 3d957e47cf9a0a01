package magpiewheel.resp;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import magpiewheel.engine.Engine;
import magpiewheel.engine.PendingRequest;

/**
 * The requests open on one connection; used by its actor. The number of requests in the engine at a time is limited, so
 * that a burst, or hundreds of cancelled requests, cannot displace other clients' requests at the endpoints. The window
 * grows with each request served; further requests are queued here.
 */
final class RequestWindow {
    /** Maximum number of open requests on a connection, set by the protocol. */
    static final int MAX_OPEN = 32;

    private static final int INITIAL_WINDOW = 8;
    /** us; how long a cancelled request still counts in the window; longer than a burst read at once takes. */
    private static final long CANCELLED_HOLD_US = 50_000;
    /** us; maximum time in the queue; short against the latency objective of every class. */
    private static final long MAX_QUEUE_US = 150_000;

    /** us; interval in which a request that waits because of the router's load is tried again. */
    private static final long LOAD_CHECK_US = 5_000;

    private record Queued(long tag, PendingRequest request, long expiresAt) {}

    /** A request with its tag on the connection. */
    record Tagged(long tag, PendingRequest request) {}

    private final Cancellations cancellations;
    private final RequestAdmission admission;
    private final FairShare fairShare;
    private final FairShare.ClientHistory history = new FairShare.ClientHistory();
    private final Map<Long, PendingRequest> open = new HashMap<>();
    private final Map<PendingRequest, Long> tags = new HashMap<>();
    private final ArrayDeque<Queued> queue = new ArrayDeque<>();
    private final ArrayDeque<Long> cancelledHolds = new ArrayDeque<>();
    private int inEngine;
    /** Requests that are answered and whose responses the client has not accepted yet. */
    private int unwritten;

    private int window = INITIAL_WINDOW;

    RequestWindow(Engine engine, RequestAdmission admission, FairShare fairShare) {
        this.cancellations = new Cancellations(engine);
        this.admission = admission;
        this.fairShare = fairShare;
    }

    /** Returns the client's cancellations; also used by the connection's reader thread. */
    Cancellations cancellations() {
        return cancellations;
    }

    boolean isEmpty() {
        return open.isEmpty();
    }

    boolean isFull() {
        return open.size() + unwritten >= MAX_OPEN;
    }

    boolean contains(long tag) {
        return open.containsKey(tag);
    }

    /** Queues a request, which is passed to the engine once the window has room. */
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

    /** Passes queued requests to the engine while the window has room. */
    void admit() {
        while (!queue.isEmpty() && inEngine + unwritten + cancelledHolds.size() < currentWindow()) {
            inEngine++;
            fairShare.requestStarted();
            history.requestStarted(System.nanoTime());
            Queued next = queue.pollFirst();
            cancellations.submit(next.tag(), next.request());
        }
    }

    private int currentWindow() {
        return Math.min(window, fairShare.window(history, open.size() + unwritten, System.nanoTime()));
    }

    /** Cancels a request. Returns it if it never reached the engine, else null. */
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
        requestEnded();
        cancelledHolds.addLast(now + CANCELLED_HOLD_US);
        cancellations.cancelInEngine(tag, request);
        return null;
    }

    /**
     * Removes a request that the engine has answered and returns its tag; returns null if the client no longer waits
     * for it.
     */
    Long answered(PendingRequest request) {
        Long tag = tags.get(request);
        if (tag == null || cancellations.contains(tag)) {
            return null;
        }
        tags.remove(request);
        open.remove(tag);
        cancellations.answered(tag);
        requestEnded();
        unwritten++;
        return tag;
    }

    private void requestEnded() {
        inEngine--;
        fairShare.requestEnded();
    }

    /** Frees the place of an answered request; the window grows by one if the client was served. */
    void responseWritten(boolean served) {
        unwritten--;
        if (served) {
            history.served();
            window = Math.min(MAX_OPEN, window + 1);
        }
        admit();
    }

    /**
     * Updates the number of open requests in admission control. A request whose response is being written counts as
     * open, as a terminating server waits for it.
     */
    void updateOpenCount() {
        admission.setOpenRequests(open.size() + unwritten);
    }

    /** Unix us; when the next timer expires; {@link Long#MAX_VALUE} if none is pending. */
    long nextAt(long now) {
        long nextQueued = queue.isEmpty() ? Long.MAX_VALUE : queue.peekFirst().expiresAt();
        // The load of the router may fall without an event on this connection.
        long nextTry = nextQueued != Long.MAX_VALUE && inEngine == 0 ? now + LOAD_CHECK_US : Long.MAX_VALUE;
        long nextHold = cancelledHolds.isEmpty() ? Long.MAX_VALUE : cancelledHolds.peekFirst();
        return Math.min(nextHold, Math.min(nextQueued, nextTry));
    }

    /**
     * Passes on the requests that the window has room for; removes and returns those whose time in the queue has
     * expired.
     */
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

    /** Empties the queue and returns the requests that never reached the engine; the caller still owns their bodies. */
    List<PendingRequest> dropQueued() {
        List<PendingRequest> dropped = new ArrayList<>();
        for (Queued each : queue) {
            dropped.add(each.request());
        }
        queue.clear();
        return dropped;
    }

    /** Removes all requests and cancels those in the engine. Returns the requests that the client still waits for. */
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
        for (; inEngine > 0; ) {
            requestEnded();
        }
        return dropped;
    }
}
