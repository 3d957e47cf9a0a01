package magpiewheel.resp;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import magpiewheel.engine.Actor;
import magpiewheel.engine.Body;
import magpiewheel.engine.Counter;
import magpiewheel.engine.PendingRequest;
import magpiewheel.engine.PendingRequest.Response;
import magpiewheel.engine.ResponseListener;
import magpiewheel.resp.RespServer.Shared;
import magpiewheel.staleness.InvalidHintException;

/**
 * The actor of one client connection: it owns what is open on it ({@link RequestWindow}) and writes the answers
 * ({@link ResponseWriter}); a reader of its own ({@link ClientReader}) takes the frames in. With a full mailbox the
 * reader waits; answers come in the reserve, one for each request let in. A connection that says nothing costs its
 * reader's thread and no buffer.
 */
final class ClientConnection extends Actor implements PendingRequest.Responder, ClientReader.FrameHandler {
    private static final int MAILBOX_CAPACITY = 64;
    /** Requests that can't be used, or over the bound, that one client may send; behind them it is closed. */
    private static final int MAX_VIOLATIONS = 16;
    /** us; taken off the patience for the way of the answer back. */
    private static final long RESPONSE_TRANSIT_US = 10_000;
    /**
     * ns; so long a client whose connection was ended is given to close it: a request may cross the end for 50 ms, and
     * the last silent ones are owed the whole close 3 s after they came.
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
    private int violations;

    ClientConnection(Socket socket, Shared shared, Consumer<ClientConnection> onClosed) {
        super("client", MAILBOX_CAPACITY, 4 * RequestWindow.MAX_OPEN, shared.counters());
        this.socket = new ClientSocket(socket);
        this.shared = shared;
        this.onClosed = onClosed;
        this.requests = new RequestWindow(shared.engine(), admission);
        this.reader = new ClientReader(this.socket, shared.pool(), shared.counters());
        this.activity = new ConnectionActivity(reader);
    }

    @Override
    public PendingRequest.ConnectionAddresses addresses() {
        return socket.ends();
    }

    void begin() throws IOException {
        socket.disableSendDelay();
        writer.setOutput(socket.out());
        start(shared.workers());
        shared.workers().runReader(this::read);
    }

    // ---------------------------------------------------------------- looked at by the front's thread

    /** Ends the connection of a client that takes nothing, says nothing, or never ends what it says. */
    void sweep(long now) {
        if (writer.stuck(now)) {
            close();
        } else if (halfClosed()) {
            closeIfExpired(now);
        } else if (activity.idle(now)) {
            halfCloseIfIdle();
        } else if (activity.requestOverdue(now) && halfCloseIfIdle()) {
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

    /** Whether this side of the connection was ended. */
    boolean halfClosed() {
        return socket.halfClosed();
    }

    /** ns; when this side of the connection was ended. */
    long halfClosedAt() {
        return socket.halfClosedAt();
    }

    /** Ends the connection unless something is owed on it; what comes behind that is read and dropped. */
    private boolean halfCloseIfIdle() {
        if (!admission.closeIfIdle()) {
            return false;
        }
        socket.halfClose();
        return true;
    }

    /** Waits no longer for the client to close. */
    void shutdownInput() {
        socket.shutdownInput();
    }

    /** How gladly it is closed when the front is full; 0 where something is owed, or may be on its way. */
    long evictionRank(long now) {
        // One closed while its client still reads could cut off an answer: a request that meets a close resets.
        boolean inUse = busy() || halfClosed() || writer.writing() || !allRead(now);
        return inUse ? 0 : activity.evictionRank(now);
    }

    /** Whether nobody has used it for so long that, beyond some, it may go. */
    boolean evictable(long now, boolean crowded) {
        return evictionRank(now) > 0 && activity.evictable(now, crowded);
    }

    /** Ends it unless something came meanwhile: looked at last of all, so that no request falls in between. */
    boolean evict() {
        return evictionRank(System.nanoTime()) != 0 && !socket.hasUnread() && halfCloseIfIdle();
    }

    /** Requests taken on it and not yet ended. */
    int openRequests() {
        return admission.openRequests();
    }

    /** Whether its client has read all that was written to it, as far as one can know. */
    boolean allRead(long now) {
        return writer.allRead(now);
    }

    /** Looks when the process will end: what is open has to be answered before. */
    void wakeForShutdown() {
        offerReserved(() -> {});
    }

    /** Takes leave of a client that has been silent for a moment; behind an answer it is done sooner. */
    void drainIfUnused() {
        if (evictionRank(System.nanoTime()) > 0) {
            offer(this::halfCloseIfDrained);
        }
    }

    /**
     * On the actor, so that no request of this client is being worked on, and once the client has read everything: it
     * would see the end only behind what it has yet to read, and write requests meanwhile that nobody answers.
     */
    private void halfCloseIfDrained() {
        if (allRead(System.nanoTime()) && !socket.hasUnread() && !reader.hasUnadmittedInput() && halfCloseIfIdle()) {
            shared.counters().add(Counter.SENT_AWAY);
        }
    }

    /** Whether an answer is owed or on its way. */
    boolean busy() {
        return admission.busy();
    }

    void close() {
        socket.close();
    }

    // ---------------------------------------------------------------- the reader

    private void read() {
        try {
            reader.run(this);
        } finally {
            close();
            requests.cancellations().cancelAll();
            stopAndRun();
        }
    }

    @Override
    public void onMalformed() {
        if (!admission.closed()) {
            shared.counters().add(Counter.CLIENT_GARBAGE);
        }
        // Behind the frames before it, which are answered.
        putAndRun(this::halfCloseWhenAnswered);
    }

    @Override
    public void onNoBuffer() {
        putAndRun(this::halfCloseWhenAnswered);
    }

    /** Where the connection was ended first, the client sends the request again elsewhere. */
    @Override
    public boolean onFrame(RespParser.Frame frame) {
        long now = shared.clock().now();
        // Counted before it waits for its turn: a connection closed meanwhile to make room would come again at once.
        if (!admission.admitFrame()) {
            release(frame.body());
            return false;
        }
        activity.onFrame();
        reader.frameAdmitted();
        if (frame.verb().equals("NEVERMIND")) {
            // Ahead of its turn: the actor may be in the middle of an answer that the client is slow to read.
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

    // ---------------------------------------------------------------- the actor

    private void handle(RespParser.Frame frame, long now) {
        if (admission.closed() && !frame.verb().equals("NEVERMIND")) {
            // Behind what ended the connection: the client sends it again elsewhere.
            release(frame.body());
            return;
        }
        activity.touch();
        long tag = frame.tag();
        switch (frame.verb()) {
            case "ASK" -> handleAsk(frame, now);
            case "NEVERMIND" -> cancel(tag, now);
            case "STATUS" -> write(tag, shared.ready().getAsBoolean() ? "UP" : "DOWN", "");
            case "COUNTERS" -> write(tag, "OK", shared.counters().toString());
            default -> {
                shared.counters().add(Counter.BAD_REQUESTS);
                write(tag, "FAILED", "");
                countViolation();
            }
        }
        if (!frame.verb().equals("ASK")) {
            release(frame.body());
        }
    }

    private void handleAsk(RespParser.Frame frame, long now) {
        if (stopped()) {
            // It crossed the end of the connection: the client sends it again elsewhere.
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
            // Two answers under one number would look like one: it gets an error, and no other answer any more.
            shared.counters().add(Counter.BAD_REQUESTS);
            release(frame.body());
            write(frame.tag(), "FAILED", "");
            cancel(frame.tag(), now);
            halfCloseWhenAnswered();
            return;
        }
        if (requests.isFull() || frame.bodyRefused()) {
            shared.counters().add(Counter.CLIENT_BOUND);
            release(frame.body());
            reject(frame.tag(), profile, null);
            countViolation();
            return;
        }
        if (shared.drain().rejectsRequests()) {
            release(frame.body());
            reject(frame.tag(), profile, null);
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

    /**
     * What can't be used gets one answer, with what is wrong as its body where that can be said, and nothing is sent
     * on.
     */
    private void rejectInvalid(RespParser.Frame frame, int profile, long now, String fields, String reason) {
        shared.counters().add(Counter.BAD_REQUESTS);
        release(frame.body());
        recordOutcome(profile, PendingRequest.Outcome.FAILED);
        boolean complete = tryWrite(() -> writer.write(frame.tag(), "FAILED", fields, reason));
        notifyListener(null, profile, Response.failed(), now, complete);
        countViolation();
    }

    /** The same again and again, at full speed, costs others their time. */
    private void countViolation() {
        violations++;
        if (violations > MAX_VIOLATIONS && requests.isEmpty()) {
            shared.counters().add(Counter.CLIENT_GARBAGE);
            halfCloseWhenAnswered();
        }
    }

    /** Takes nothing more, and ends the connection behind the answers to what is open. */
    private void halfCloseWhenAnswered() {
        admission.close();
        halfCloseIfAnswered();
    }

    private void halfCloseIfAnswered() {
        if (admission.closed() && requests.isEmpty()) {
            socket.halfClose();
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
        long next = requests.isEmpty()
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

    /** Whether it is time to take leave, and nothing stands against it but what the client has yet to read. */
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
        }
        for (RequestWindow.Tagged late : requests.overdue(now)) {
            // Decided early: nothing was sent for it, and the client may still go elsewhere.
            PendingRequest request = late.request();
            shared.counters().add(Counter.CLIENT_BOUND);
            release(request.clientRequest().body());
            reject(late.tag(), request.clientRequest().classIndex(), request.clientRequest());
            requests.updateOpenCount();
        }
        halfCloseIfAnswered();
    }

    /** The process ends: what was taken before it was told so, and has more time than it, is failed while it can be. */
    private void failOpenRequests() {
        releaseQueued();
        for (RequestWindow.Tagged each : requests.dropAll()) {
            writeAnswer(each.tag(), each.request(), Response.failed());
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
    public void respond(PendingRequest request, Response answer) {
        if (!offerReserved(() -> deliver(request, answer))) {
            release(answer.body());
            if (!stopped()) {
                // Never seen: requests taken back at the very moment of their answer would have to fill the reserve.
                shared.counters().add(Counter.MAILBOX_FULL);
                close();
            }
        }
    }

    private void deliver(PendingRequest request, Response answer) {
        Long tag = requests.answered(request);
        if (tag != null) {
            writeAnswer(tag, request, answer);
            requests.updateOpenCount();
            if (answer.outcome() == PendingRequest.Outcome.SERVED) {
                requests.grow();
            }
            requests.admit();
            halfCloseIfAnswered();
        }
        release(answer.body());
    }

    private void writeAnswer(long tag, PendingRequest request, Response answer) {
        int profile = request.clientRequest().classIndex();
        recordOutcome(profile, answer.outcome());
        boolean complete = tryWrite(() -> writer.write(tag, answer));
        notifyListener(request.clientRequest(), profile, answer, request.receivedAtUs(), complete);
    }

    /** Turned away here, before the module has heard of it; {@code ask} is null where its fields were not read. */
    private void reject(long tag, int profile, PendingRequest.ClientRequest ask) {
        recordOutcome(profile, PendingRequest.Outcome.REJECTED);
        Response answer = Response.rejected(shared.engine().retryAfterUs());
        boolean complete = tryWrite(() -> writer.write(tag, answer));
        notifyListener(ask, profile, answer, shared.clock().now(), complete);
    }

    private void notifyListener(
            PendingRequest.ClientRequest ask, int profile, Response answer, long takenAt, boolean complete) {
        if (shared.responseListener() != ResponseListener.NONE) {
            shared.responseListener()
                    .responseSent(addresses(), ask, profile, answer, takenAt, writer.bytesWritten(), complete);
        }
    }

    private void recordOutcome(int profile, PendingRequest.Outcome end) {
        if (profile >= 0) {
            shared.stats().requestEnded(profile, end);
        }
    }

    private interface WriteOperation {
        void run() throws IOException;
    }

    private void write(long tag, String word, String fields) {
        tryWrite(() -> writer.write(tag, word, fields, ""));
    }

    /** False where an answer could not be written whole. */
    private boolean tryWrite(WriteOperation operation) {
        try {
            operation.run();
            return true;
        } catch (IOException e) {
            close();
            // At once: the reader may wait for room here, and what it has read would still be sent on.
            stop();
            return false;
        } finally {
            activity.touch();
        }
    }

    @Override
    protected void onTerminated() {
        close();
        // The client is gone, and with it whoever waited for these.
        releaseQueued();
        requests.dropAll();
        requests.updateOpenCount();
        onClosed.accept(this);
    }
}
