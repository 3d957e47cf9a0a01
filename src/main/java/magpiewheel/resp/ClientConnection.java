package magpiewheel.resp;

import java.io.IOException;
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
 * ({@link ResponseWriter}); the poller's thread reads the frames ({@link ClientReader}), and stops reading while the
 * mailbox is full or too many responses are unread. Responses use the mailbox's reserve, which has room for one for
 * each admitted request. A connection without input holds neither a thread nor a buffer.
 */
final class ClientConnection extends Actor
        implements PendingRequest.Responder, ClientReader.FrameHandler, ClientTransport.ReadinessHandler {
    private static final int MAILBOX_CAPACITY = 64;
    /** Unwritten responses, among them those to requests that are not passed on, at which no more frames are read. */
    private static final int MAX_UNWRITTEN_RESPONSES = 2 * RequestWindow.MAX_OPEN;
    /** us; subtracted from the client's patience for the transit of the response. */
    private static final long RESPONSE_TRANSIT_US = 10_000;
    /**
     * ns; time for a client to close its side: a request may cross the half-close for 50 ms, and clients that send no
     * complete request must be fully closed 3 s after they connected.
     */
    private static final long HALF_CLOSE_TIMEOUT_NS = TimeUnit.MILLISECONDS.toNanos(300);

    private final ClientTransport transport;
    private final ClientSocket socket;
    private final Shared shared;
    private final Consumer<ClientConnection> onClosed;
    private final RequestAdmission admission = new RequestAdmission();
    private final RequestWindow requests;
    private final ResponseWriter writer;
    private final ClientReader reader;
    private final ConnectionActivity activity;
    private final ConnectionUsage usage;
    private final ResponseSender sender;
    private final ViolationLimit violations = new ViolationLimit();
    /** Whether the connection has ended; used on the poller's thread. */
    private boolean finished;

    ClientConnection(ClientTransport transport, Shared shared, Consumer<ClientConnection> onClosed) {
        super("client", MAILBOX_CAPACITY, 4 * RequestWindow.MAX_OPEN, shared.counters());
        this.transport = transport;
        this.socket = new ClientSocket(transport);
        this.shared = shared;
        this.onClosed = onClosed;
        this.requests = new RequestWindow(shared.engine(), admission, shared.fairShare());
        this.writer = new ResponseWriter(transport);
        this.reader = new ClientReader(transport, shared.requestPool(), this);
        this.activity = new ConnectionActivity(reader);
        this.usage = new ConnectionUsage(socket, admission, activity, reader, writer);
        this.sender =
                new ResponseSender(writer, shared, this.socket, activity, this::writeFailed, this::responsesWritten);
    }

    @Override
    public PendingRequest.ConnectionAddresses addresses() {
        return socket.addresses();
    }

    void begin() throws IOException {
        start(shared.workers());
        transport.open(shared.poller(), this);
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
                ? writer.delivered(now) && shared.drain().closeExpired(since, reader.receivedSince(since), now)
                : writer.allRead(now) && now - since > HALF_CLOSE_TIMEOUT_NS;
        if (expired) {
            expire();
        }
    }

    /** Whether this side of the connection has been half-closed. */
    boolean halfClosed() {
        return socket.halfClosed();
    }

    /** Half-closes the connection unless a response is owed; later input is discarded. */
    private boolean halfCloseIfIdle(CloseReason reason) {
        if (!admission.closeIfIdle()) {
            return false;
        }
        halfClose(reason);
        return true;
    }

    private void halfClose(CloseReason reason) {
        if (!socket.halfClose(reason)) {
            close(CloseReason.CLIENT);
        }
    }

    /** Stops waiting for the client to close its side: what has arrived is discarded, and the connection closed. */
    void expire() {
        shared.poller().execute(() -> {
            if (!finished) {
                reader.discardReceived(shared.poller().readBuffer());
                onEnd();
            }
        });
    }

    /** Returns how the client uses the connection. */
    ConnectionUsage usage() {
        return usage;
    }

    /**
     * Ends the connection: at once if the client does not read, else by a half-close unless a request arrived
     * meanwhile; checked last, so that none is lost in between.
     */
    boolean evict() {
        if (usage.evictionRank(System.nanoTime()) == 0) {
            return false;
        }
        if (usage.writing()) {
            close(CloseReason.STALLED_READER);
            return true;
        }
        return !usage.mayMeetRequest() && halfCloseIfIdle(CloseReason.EVICTED);
    }

    /** Returns the number of requests accepted and not finished. */
    int openRequests() {
        return admission.openRequests();
    }

    /** Wakes the actor to recompute its timer: open requests must be answered before the process ends. */
    void wakeForShutdown() {
        offerReserved(() -> {});
    }

    /** Closes the connection of a client that sent nothing lately; after a response, the actor does so sooner. */
    void drainIfUnused() {
        if (usage.evictionRank(System.nanoTime()) > 0 && !reader.frameGrowing(System.nanoTime())) {
            offer(this::halfCloseIfDrained);
        }
    }

    /**
     * Half-closes the connection if the client has read all its responses; called on the actor, so that no request of
     * this client is being processed. A client sees the end of the stream only after it has read what precedes it, and
     * until then could send requests that would go unanswered.
     */
    private void halfCloseIfDrained() {
        if (writer.allRead(System.nanoTime())
                && !socket.hasUnread()
                && !reader.hasUnadmittedInput()
                && halfCloseIfIdle(CloseReason.DRAINED)) {
            shared.counters().add(Counter.SENT_AWAY);
        }
    }

    /** Closes the connection at once; thread-safe. */
    void close(CloseReason reason) {
        socket.close(reason);
        shared.poller().execute(this::onEnd);
    }

    private void writeFailed() {
        close(CloseReason.WRITE_FAILED);
        // Stopped at once: else frames that the reader holds for the mailbox would still be passed on.
        stop();
    }

    // ---------------------------------------------------------------- poller thread

    @Override
    public void onReadable() {
        reader.read(shared.poller().readBuffer());
    }

    @Override
    public void onWritable() {
        if (!offerAndRun(sender::flush)) {
            offerReserved(sender::flush);
        }
    }

    @Override
    public void onEnd() {
        if (finished) {
            return;
        }
        finished = true;
        socket.close(CloseReason.CLIENT);
        reader.end();
        requests.cancellations().cancelAll();
        stopAndRun();
    }

    @Override
    public void onMalformed() {
        if (!admission.closed()) {
            shared.counters().add(Counter.CLIENT_GARBAGE);
        }
        // After the frames before it, which are still answered.
        offerReserved(() -> halfCloseWhenAnswered(CloseReason.MALFORMED_INPUT));
    }

    /**
     * Admits the frame, unless the connection has been ended, when the client sends the request again elsewhere, or
     * there is no room, when the client has to wait.
     */
    @Override
    public ClientReader.Delivery onFrame(RespParser.Frame frame) {
        long now = shared.clock().now();
        if (frame.verb().equals("NEVERMIND")) {
            // Ahead of the mailbox: the actor may not have its turn for a while.
            requests.cancellations().cancel(frame.tag());
        }
        // Counted before it is queued: otherwise it could be evicted meanwhile, and the client would reconnect at once.
        if (!admission.admitFrame()) {
            release(frame.body());
            return ClientReader.Delivery.ENDED;
        }
        boolean accepted = writer.unwrittenResponses() < MAX_UNWRITTEN_RESPONSES
                && offerAndRun(() -> {
                    try {
                        handle(frame, now);
                    } finally {
                        admission.frameDone();
                    }
                });
        if (!accepted) {
            admission.frameDone();
            return ClientReader.Delivery.POSTPONED;
        }
        activity.onFrame();
        reader.frameAdmitted();
        return ClientReader.Delivery.ACCEPTED;
    }

    @Override
    public void onPaused() {
        // A turn that begins after the pause ends it, once there is room.
        offerReserved(() -> {});
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

    private void countViolation() {
        if (violations.exceededByNext(!requests.isEmpty())) {
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
            halfClose(CloseReason.CLIENT);
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
        long now = shared.clock().now();
        long next = requests.nextAt(now);
        if (!requests.isEmpty() || !admission.closed() && !awaitsReader(now)) {
            next = Math.min(next, shared.drain().answeredBy());
        }
        long wait = next == Long.MAX_VALUE ? Long.MAX_VALUE : Math.max(0, next - now);
        if (canDrainNow()) {
            wait = Math.min(wait, Math.max(0, (writer.allReadAt() - System.nanoTime()) / 1_000 + 1));
        }
        return wait == Long.MAX_VALUE ? -1 : wait;
    }

    /** Whether everything is answered at the end of the process, and the client has yet to take the responses. */
    private boolean awaitsReader(long now) {
        return now >= shared.drain().answeredBy() && writer.writing();
    }

    /** Whether the connection is to be drained and only unread responses can still prevent it. */
    private boolean canDrainNow() {
        return activity.hasReceivedFrame()
                && !admission.busy()
                && !admission.closed()
                && shared.drain().closesIdle()
                && !reader.hasUnadmittedInput();
    }

    @Override
    protected void runDueWork() {
        if (reader.paused() && writer.unwrittenResponses() < MAX_UNWRITTEN_RESPONSES) {
            shared.poller().execute(() -> reader.resume(shared.poller().readBuffer()));
        }
        if (canDrainNow()) {
            halfCloseIfDrained();
        }
        long now = shared.clock().now();
        if (now >= shared.drain().answeredBy()) {
            failOpenRequests();
            if (!writer.writing()) {
                halfCloseWhenAnswered(CloseReason.SHUTDOWN_DEADLINE);
            }
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
        if (tag == null) {
            release(response.body());
            return;
        }
        sender.respond(tag, request, response, complete -> {
            requests.responseWritten(complete && response.outcome() == PendingRequest.Outcome.SERVED);
            requests.updateOpenCount();
        });
    }

    /** Called after each attempt to write, on the actor. */
    private void responsesWritten() {
        admission.setUnwrittenResponses(writer.unwrittenResponses());
        halfCloseIfAnswered();
    }

    @Override
    protected void onTerminated() {
        close(CloseReason.CLIENT);
        // The client has disconnected: no one waits for these requests any more.
        releaseQueued();
        int open = requests.dropAll().size();
        int unread = writer.unwrittenResponses();
        writer.abort();
        requests.updateOpenCount();
        EventLog.log(
                EventLog.Event.CLIENT_CLOSED,
                "client=" + socket.remoteName() + " reason="
                        + socket.closeReason().logName() + " open=" + open + " unread=" + unread);
        // Its place is free once its descriptor is.
        shared.poller().afterRelease(() -> onClosed.accept(this));
    }
}
