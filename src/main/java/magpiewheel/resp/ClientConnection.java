package magpiewheel.resp;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import magpiewheel.engine.Actor;
import magpiewheel.engine.Body;
import magpiewheel.engine.Counter;
import magpiewheel.engine.EventLog;
import magpiewheel.engine.PendingRequest;
import magpiewheel.engine.PendingRequest.Response;
import magpiewheel.resp.RespServer.Shared;
import magpiewheel.staleness.InvalidHintException;

/**
 * The actor of one client connection. It owns the open requests ({@link RequestWindow}) and writes the responses
 * ({@link ResponseWriter}); a thread of its own ({@link ClientReader}) reads the frames. The reader blocks while the
 * mailbox is full; responses use the mailbox's reserve, which has room for one for each admitted request. A connection
 * without input costs its reader thread and no buffer.
 */
final class ClientConnection extends Actor implements PendingRequest.Responder, ClientReader.FrameHandler {
    private static final int MAILBOX_CAPACITY = 64;
    /** Maximum number of invalid requests, or requests over a limit, from one client; then the connection is closed. */
    private static final int MAX_VIOLATIONS = 16;
    /** us; subtracted from the client's patience for the transit of the response. */
    private static final long RESPONSE_TRANSIT_US = 10_000;
    /**
     * ns; time for a client to close its side: a request may cross the half-close for 50 ms, and clients that send no
     * complete request must be fully closed 3 s after they connected.
     */
    private static final long HALF_CLOSE_TIMEOUT_NS = TimeUnit.MILLISECONDS.toNanos(300);

    private final ClientSocket socket;
    private final Shared shared;
    private final Consumer<ClientConnection> onClosed;
    private final RequestAdmission admission = new RequestAdmission();
    private final RequestWindow requests;
    private final ResponseWriter writer = new ResponseWriter();
    private final ClientReader reader;
    private final ConnectionActivity activity;
    private final ResponseSender sender;
    private int violations;

    ClientConnection(Socket socket, Shared shared, Consumer<ClientConnection> onClosed) {
        super("client", MAILBOX_CAPACITY, 4 * RequestWindow.MAX_OPEN, shared.counters());
        this.socket = new ClientSocket(socket);
        this.shared = shared;
        this.onClosed = onClosed;
        this.requests = new RequestWindow(shared.engine(), admission);
        this.reader = new ClientReader(this.socket, shared.pool(), shared.counters());
        this.activity = new ConnectionActivity(reader);
        this.sender = new ResponseSender(writer, shared, this.socket, activity, this::writeFailed);
    }

    @Override
    public PendingRequest.ConnectionAddresses addresses() {
        return socket.addresses();
    }

    void begin() throws IOException {
        socket.disableSendDelay();
        writer.setOutput(socket.out());
        start(shared.workers());
        shared.workers().runReader(this::read);
    }

    // ---------------------------------------------------------------- called by the acceptor or drain thread

    /** Closes the connection of a client that reads no responses, is idle or does not complete a request. */
    void sweep(long now) {
        if (writer.stuck(now)) {
            close(CloseReason.WRITE_TIMEOUT);
        } else if (halfClosed()) {
            closeIfExpired(now);
        } else if (activity.idle(now)) {
            halfCloseIfIdle(CloseReason.IDLE);
        } else if (activity.requestOverdue(now) && halfCloseIfIdle(CloseReason.REQUEST_TIMEOUT)) {
            shared.counters().add(Counter.CLIENTS_SILENT);
        }
    }

    private void closeIfExpired(long now) {
        long since = socket.halfClosedAt();
        boolean expired = shared.drain().closesIdle()
                ? shared.drain().closeExpired(since, reader.receivedSince(since), now)
                : allRead(now) && now - since > HALF_CLOSE_TIMEOUT_NS;
        if (expired) {
            socket.shutdownInput();
        }
    }

    /** Whether this side of the connection has been half-closed. */
    boolean halfClosed() {
        return socket.halfClosed();
    }

    /** ns; when this side of the connection was half-closed. */
    long halfClosedAt() {
        return socket.halfClosedAt();
    }

    /** Half-closes the connection unless a response is owed; later input is discarded. */
    private boolean halfCloseIfIdle(CloseReason reason) {
        if (!admission.closeIfIdle()) {
            return false;
        }
        socket.halfClose(reason);
        return true;
    }

    /** Stops waiting for the client to close its side. */
    void shutdownInput() {
        socket.shutdownInput();
    }

    /** Returns the eviction priority; 0 if a response is owed or a request may be in transit. */
    long evictionRank(long now) {
        // Closing while the client reads could cut off a response: a request that meets a close causes a reset.
        boolean inUse = busy() || halfClosed() || writer.writing() || !allRead(now);
        return inUse ? 0 : activity.evictionRank(now);
    }

    /** Whether the connection has been unused long enough to be evicted when too many are unused. */
    boolean evictable(long now, boolean crowded) {
        return evictionRank(now) > 0 && activity.evictable(now, crowded);
    }

    /** Half-closes the connection unless a request arrived meanwhile; checked last, so that none is lost in between. */
    boolean evict() {
        return evictionRank(System.nanoTime()) != 0 && !socket.hasUnread() && halfCloseIfIdle(CloseReason.EVICTED);
    }

    /** Returns the number of requests accepted and not finished. */
    int openRequests() {
        return admission.openRequests();
    }

    /** Whether, by estimate, the client has read everything that was written to it. */
    boolean allRead(long now) {
        return writer.allRead(now);
    }

    /** Wakes the actor to recompute its timer: open requests must be answered before the process ends. */
    void wakeForShutdown() {
        offerReserved(() -> {});
    }

    /** Closes the connection of a client that sent nothing lately; after a response, the actor does so sooner. */
    void drainIfUnused() {
        if (evictionRank(System.nanoTime()) > 0) {
            offer(this::halfCloseIfDrained);
        }
    }

    /**
     * Half-closes the connection if the client has read all its responses; called on the actor, so that no request of
     * this client is being processed. A client sees the end of the stream only after it has read what precedes it, and
     * until then could send requests that would go unanswered.
     */
    private void halfCloseIfDrained() {
        if (allRead(System.nanoTime())
                && !socket.hasUnread()
                && !reader.hasUnadmittedInput()
                && halfCloseIfIdle(CloseReason.DRAINED)) {
            shared.counters().add(Counter.SENT_AWAY);
        }
    }

    /** Whether a response is owed or being written. */
    boolean busy() {
        return admission.busy();
    }

    void close(CloseReason reason) {
        socket.close(reason);
    }

    private void writeFailed() {
        close(CloseReason.WRITE_FAILED);
        // Stopped at once: else frames that the reader holds for the mailbox would still be passed on.
        stop();
    }

    // ---------------------------------------------------------------- reader thread

    private void read() {
        try {
            reader.run(this);
        } finally {
            close(CloseReason.CLIENT);
            requests.cancellations().cancelAll();
            stopAndRun();
        }
    }

    @Override
    public void onMalformed() {
        if (!admission.closed()) {
            shared.counters().add(Counter.CLIENT_GARBAGE);
        }
        // After the frames before it, which are still answered.
        putAndRun(() -> halfCloseWhenAnswered(CloseReason.MALFORMED_INPUT));
    }

    @Override
    public void onNoBuffer() {
        putAndRun(() -> halfCloseWhenAnswered(CloseReason.NO_BUFFER));
    }

    /** Admits the frame unless the connection has been ended; the client then sends the request again elsewhere. */
    @Override
    public boolean onFrame(RespParser.Frame frame) {
        long now = shared.clock().now();
        // Counted before it is queued: otherwise it could be evicted meanwhile, and the client would reconnect at once.
        if (!admission.admitFrame()) {
            release(frame.body());
            return false;
        }
        activity.onFrame();
        reader.frameAdmitted();
        if (frame.verb().equals("NEVERMIND")) {
            // Ahead of the mailbox: the actor may be blocked writing a response that the client reads slowly.
            requests.cancellations().cancel(frame.tag());
        }
        if (!putAndRun(() -> {
            try {
                handle(frame, now);
            } finally {
                admission.frameDone();
            }
        })) {
            admission.frameDone();
            release(frame.body());
        }
        return true;
    }

    // ---------------------------------------------------------------- actor

    private void handle(RespParser.Frame frame, long now) {
        activity.touch();
        long tag = frame.tag();
        switch (frame.verb()) {
            case "ASK" -> handleAsk(frame, now);
            case "NEVERMIND" -> cancel(tag, now);
            case "STATUS" -> sender.write(tag, shared.ready().getAsBoolean() ? "UP" : "DOWN", "");
            case "COUNTERS" -> sender.write(tag, "OK", shared.counters().toString());
            default -> {
                shared.counters().add(Counter.BAD_REQUESTS);
                sender.write(tag, "FAILED", "");
                countViolation();
            }
        }
        if (!frame.verb().equals("ASK")) {
            release(frame.body());
        }
    }

    private void handleAsk(RespParser.Frame frame, long now) {
        if (stopped()) {
            // The request crossed the close of the connection: the client sends it again elsewhere.
            release(frame.body());
            return;
        }
        if (requests.cancellations().contains(frame.tag())) {
            shared.counters().add(Counter.GIVEN_UP_BY_CLIENT);
            release(frame.body());
            return;
        }
        int profile = shared.classes().indexOf(frame.className());
        if (requests.contains(frame.tag())) {
            // Two responses with one tag would be indistinguishable: it gets an error and no further response.
            shared.counters().add(Counter.BAD_REQUESTS);
            release(frame.body());
            sender.write(frame.tag(), "FAILED", "");
            cancel(frame.tag(), now);
            halfCloseWhenAnswered(CloseReason.DUPLICATE_TAG);
            return;
        }
        if (admission.closed()) {
            // Read behind the frame that ended the connection, or in the moment of its end: it is owed an answer.
            release(frame.body());
            sender.reject(frame, profile, "connection-ending");
            return;
        }
        if (requests.isFull() || frame.bodyRefused()) {
            shared.counters().add(Counter.CLIENT_BOUND);
            release(frame.body());
            sender.reject(frame, profile, requests.isFull() ? "open-requests-limit" : "no-body-buffer");
            countViolation();
            return;
        }
        if (shared.drain().rejectsRequests()) {
            release(frame.body());
            sender.reject(frame, profile, "draining");
            return;
        }
        PendingRequest.ClientRequest ask;
        try {
            ask = RequestFields.read(frame, shared.classes(), shared.deadlinesUs(), shared.hintsEnabled());
        } catch (InvalidHintException e) {
            rejectInvalid(frame, profile, now, "error=hint", e.getMessage());
            return;
        }
        if (ask == null) {
            rejectInvalid(frame, profile, now, "", "");
            return;
        }
        activity.onRequest();
        long clientDeadline = now + Math.max(1, ask.timeBudgetUs() - RESPONSE_TRANSIT_US);
        PendingRequest request = new PendingRequest(
                ask, this, now, clientDeadline, shared.drain().deadline(clientDeadline));
        requests.add(frame.tag(), request, now);
    }

    /** Answers FAILED, with the reason as the body if one is known; the request is not passed on. */
    private void rejectInvalid(RespParser.Frame frame, int profile, long now, String fields, String reason) {
        shared.counters().add(Counter.BAD_REQUESTS);
        release(frame.body());
        sender.failInvalid(frame, profile, now, fields, reason);
        countViolation();
    }

    /** Limits violations, since a client that repeats them at full speed takes time from the others. */
    private void countViolation() {
        violations++;
        if (violations > MAX_VIOLATIONS && requests.isEmpty()) {
            shared.counters().add(Counter.CLIENT_GARBAGE);
            halfCloseWhenAnswered(CloseReason.TOO_MANY_VIOLATIONS);
        }
    }

    /** Stops admission and half-closes the connection once all open requests are answered. */
    private void halfCloseWhenAnswered(CloseReason reason) {
        socket.closesFor(reason);
        admission.close();
        halfCloseIfAnswered();
    }

    private void halfCloseIfAnswered() {
        if (admission.closed() && !admission.busy()) {
            socket.halfClose(CloseReason.CLIENT);
        }
    }

    private void cancel(long tag, long now) {
        PendingRequest queued = requests.cancel(tag, now);
        if (queued != null) {
            shared.counters().add(Counter.GIVEN_UP_BY_CLIENT);
            release(queued.clientRequest().body());
        }
        halfCloseIfAnswered();
    }

    @Override
    protected long untilDueWorkUs() {
        long next = admission.closed() && requests.isEmpty()
                ? requests.nextAt()
                : Math.min(requests.nextAt(), shared.drain().answeredBy());
        long wait = next == Long.MAX_VALUE
                ? Long.MAX_VALUE
                : Math.max(0, next - shared.clock().now());
        if (canDrainNow()) {
            wait = Math.min(wait, Math.max(0, (writer.allReadAt() - System.nanoTime()) / 1_000 + 1));
        }
        return wait == Long.MAX_VALUE ? -1 : wait;
    }

    /** Whether the connection is to be drained and only unread responses can still prevent it. */
    private boolean canDrainNow() {
        return activity.hasReceivedFrame()
                && !busy()
                && !admission.closed()
                && shared.drain().closesIdle()
                && !reader.hasUnadmittedInput();
    }

    @Override
    protected void runDueWork() {
        if (canDrainNow()) {
            halfCloseIfDrained();
        }
        long now = shared.clock().now();
        if (now >= shared.drain().answeredBy()) {
            failOpenRequests();
            halfCloseWhenAnswered(CloseReason.SHUTDOWN_DEADLINE);
        }
        for (RequestWindow.Tagged late : requests.overdue(now)) {
            // Rejected early: nothing was sent for it, and the client can still go elsewhere.
            PendingRequest request = late.request();
            shared.counters().add(Counter.CLIENT_BOUND);
            release(request.clientRequest().body());
            sender.reject(late.tag(), request.clientRequest(), "queue-timeout");
            requests.updateOpenCount();
        }
        halfCloseIfAnswered();
    }

    /** Fails the requests that are open when the process has no time left for them. */
    private void failOpenRequests() {
        releaseQueued();
        for (RequestWindow.Tagged each : requests.dropAll()) {
            sender.fail(each.tag(), each.request(), "shutdown-deadline");
        }
        requests.updateOpenCount();
    }

    private void releaseQueued() {
        requests.dropQueued().forEach(request -> release(request.clientRequest().body()));
    }

    private static void release(Body body) {
        if (body != null) {
            body.release();
        }
    }

    @Override
    public void respond(PendingRequest request, Response response) {
        if (!offerReserved(() -> deliver(request, response))) {
            release(response.body());
            if (!stopped()) {
                // Never observed: requests cancelled just as they are answered would have to fill the reserve.
                shared.counters().add(Counter.MAILBOX_FULL);
                close(CloseReason.MAILBOX_FULL);
            }
        }
    }

    private void deliver(PendingRequest request, Response response) {
        Long tag = requests.answered(request);
        if (tag != null) {
            sender.respond(tag, request, response);
            requests.updateOpenCount();
            if (response.outcome() == PendingRequest.Outcome.SERVED) {
                requests.grow();
            }
            requests.admit();
            halfCloseIfAnswered();
        }
        release(response.body());
    }

    @Override
    protected void onTerminated() {
        close(CloseReason.CLIENT);
        // The client has disconnected: no one waits for these requests any more.
        releaseQueued();
        int open = requests.dropAll().size();
        requests.updateOpenCount();
        EventLog.log(
                EventLog.Event.CLIENT_CLOSED,
                "client=" + socket.remoteName() + " reason="
                        + socket.closeReason().logName() + " open=" + open);
        onClosed.accept(this);
    }
}
