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
final class ClientConnection extends Actor implements PendingRequest.Responder, ClientReader.Frames {
    private static final int MAILBOX = 64;
    /** Requests that can't be used, or over the bound, that one client may send; behind them it is closed. */
    private static final int MOST_OFFENCES = 16;
    /** us; taken off the patience for the way of the answer back. */
    private static final long WAY_BACK_US = 10_000;
    /**
     * ns; so long a client whose connection was ended is given to close it: a request may cross the end for 50 ms, and
     * the last silent ones are owed the whole close 3 s after they came.
     */
    private static final long HALF_CLOSED_NS = TimeUnit.MILLISECONDS.toNanos(300);

    private final ClientSocket socket;
    private final Shared shared;
    private final Consumer<ClientConnection> onEnd;
    private final RequestAdmission intake = new RequestAdmission();
    private final RequestWindow requests;
    private final ResponseWriter answers = new ResponseWriter();
    private final ClientReader reader;
    private final ConnectionActivity usage;
    private int offences;

    ClientConnection(Socket socket, Shared shared, Consumer<ClientConnection> onEnd) {
        super("client", MAILBOX, 4 * RequestWindow.MOST_OPEN, shared.counters());
        this.socket = new ClientSocket(socket);
        this.shared = shared;
        this.onEnd = onEnd;
        this.requests = new RequestWindow(shared.engine(), intake);
        this.reader = new ClientReader(this.socket, shared.pool(), shared.counters());
        this.usage = new ConnectionActivity(reader);
    }

    @Override
    public PendingRequest.ConnectionAddresses addresses() {
        return socket.ends();
    }

    void begin() throws IOException {
        socket.sendAtOnce();
        answers.to(socket.out());
        start(shared.crew());
        shared.crew().runReader(this::read);
    }

    // ---------------------------------------------------------------- looked at by the front's thread

    /** Ends the connection of a client that takes nothing, says nothing, or never ends what it says. */
    void sweep(long now) {
        if (answers.stuck(now)) {
            close();
        } else if (ended()) {
            closeWhenOver(now);
        } else if (usage.idle(now)) {
            endIfIdle();
        } else if (usage.silent(now) && endIfIdle()) {
            shared.counters().add(Counter.CLIENTS_SILENT);
        }
    }

    private void closeWhenOver(long now) {
        long since = socket.endedAt();
        boolean over = shared.leave().closes()
                ? shared.leave().over(since, reader.spokeSince(since), now)
                : drained(now) && now - since > HALF_CLOSED_NS;
        if (over) {
            socket.endReading();
        }
    }

    /** Whether this side of the connection was ended. */
    boolean ended() {
        return socket.ended();
    }

    /** ns; when this side of the connection was ended. */
    long endedAt() {
        return socket.endedAt();
    }

    /** Ends the connection unless something is owed on it; what comes behind that is read and dropped. */
    private boolean endIfIdle() {
        if (!intake.endIfIdle()) {
            return false;
        }
        socket.halfClose();
        return true;
    }

    /** Waits no longer for the client to close. */
    void endReading() {
        socket.endReading();
    }

    /** How gladly it is closed when the front is full; 0 where something is owed, or may be on its way. */
    long spare(long now) {
        // One closed while its client still reads could cut off an answer: a request that meets a close resets.
        boolean inUse = busy() || ended() || answers.writing() || !drained(now);
        return inUse ? 0 : usage.spare(now);
    }

    /** Whether nobody has used it for so long that, beyond some, it may go. */
    boolean unused(long now, boolean crowded) {
        return spare(now) > 0 && usage.unused(now, crowded);
    }

    /** Ends it unless something came meanwhile: looked at last of all, so that no request falls in between. */
    boolean closeUnused() {
        return spare(System.nanoTime()) != 0 && !socket.hasUnread() && endIfIdle();
    }

    /** Requests taken on it and not yet ended. */
    int open() {
        return intake.open();
    }

    /** Whether its client has read all that was written to it, as far as one can know. */
    boolean drained(long now) {
        return answers.drained(now);
    }

    /** Looks when the process will end: what is open has to be answered before. */
    void hearOfTheEnd() {
        offerReserved(() -> {});
    }

    /** Takes leave of a client that has been silent for a moment; behind an answer it is done sooner. */
    void takeLeave() {
        if (spare(System.nanoTime()) > 0) {
            offer(this::leaveIfDone);
        }
    }

    /**
     * On the actor, so that no request of this client is being worked on, and once the client has read everything: it
     * would see the end only behind what it has yet to read, and write requests meanwhile that nobody answers.
     */
    private void leaveIfDone() {
        if (drained(System.nanoTime()) && !socket.hasUnread() && !reader.inHand() && endIfIdle()) {
            shared.counters().add(Counter.SENT_AWAY);
        }
    }

    /** Whether an answer is owed or on its way. */
    boolean busy() {
        return intake.busy();
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
            requests.withdrawals().withdrawAll();
            stopAndRun();
        }
    }

    @Override
    public void malformed() {
        if (!intake.ended()) {
            shared.counters().add(Counter.CLIENT_GARBAGE);
        }
        // Behind the frames before it, which are answered.
        putAndRun(this::endWhenAnswered);
    }

    @Override
    public void noRoom() {
        putAndRun(this::endWhenAnswered);
    }

    /** Where the connection was ended first, the client sends the request again elsewhere. */
    @Override
    public boolean taken(RespParser.Frame frame) {
        long now = shared.clock().now();
        // Counted before it waits for its turn: a connection closed meanwhile to make room would come again at once.
        if (!intake.take()) {
            release(frame.body());
            return false;
        }
        usage.asked();
        reader.handedOn();
        if (frame.verb().equals("NEVERMIND")) {
            // Ahead of its turn: the actor may be in the middle of an answer that the client is slow to read.
            requests.withdrawals().withdraw(frame.tag());
        }
        if (!putAndRun(() -> {
            try {
                handle(frame, now);
            } finally {
                intake.done();
            }
        })) {
            intake.done();
            release(frame.body());
        }
        return true;
    }

    // ---------------------------------------------------------------- the actor

    private void handle(RespParser.Frame frame, long now) {
        if (intake.ended() && !frame.verb().equals("NEVERMIND")) {
            // Behind what ended the connection: the client sends it again elsewhere.
            release(frame.body());
            return;
        }
        usage.used();
        long tag = frame.tag();
        switch (frame.verb()) {
            case "ASK" -> ask(frame, now);
            case "NEVERMIND" -> takeBack(tag, now);
            case "STATUS" -> write(tag, shared.up().getAsBoolean() ? "UP" : "DOWN", "");
            case "COUNTERS" -> write(tag, "OK", shared.counters().toString());
            default -> {
                shared.counters().add(Counter.BAD_REQUESTS);
                write(tag, "FAILED", "");
                offence();
            }
        }
        if (!frame.verb().equals("ASK")) {
            release(frame.body());
        }
    }

    private void ask(RespParser.Frame frame, long now) {
        if (stopped()) {
            // It crossed the end of the connection: the client sends it again elsewhere.
            release(frame.body());
            return;
        }
        if (requests.withdrawals().contains(frame.tag())) {
            shared.counters().add(Counter.GIVEN_UP_BY_CLIENT);
            release(frame.body());
            return;
        }
        int profile = shared.classes().indexOf(frame.word());
        if (requests.contains(frame.tag())) {
            // Two answers under one number would look like one: it gets an error, and no other answer any more.
            shared.counters().add(Counter.BAD_REQUESTS);
            release(frame.body());
            write(frame.tag(), "FAILED", "");
            takeBack(frame.tag(), now);
            endWhenAnswered();
            return;
        }
        if (requests.isFull() || frame.bodyRefused()) {
            shared.counters().add(Counter.CLIENT_BOUND);
            release(frame.body());
            refuse(frame.tag(), profile, null);
            offence();
            return;
        }
        if (shared.leave().refuses()) {
            release(frame.body());
            refuse(frame.tag(), profile, null);
            return;
        }
        PendingRequest.ClientRequest ask;
        try {
            ask = RequestFields.read(frame, shared.classes(), shared.deadlinesUs(), shared.hints());
        } catch (InvalidHintException e) {
            unusable(frame, profile, now, "error=hint", e.getMessage());
            return;
        }
        if (ask == null) {
            unusable(frame, profile, now, "", "");
            return;
        }
        usage.wanted();
        long patient = now + Math.max(1, ask.timeBudgetUs() - WAY_BACK_US);
        PendingRequest call =
                new PendingRequest(ask, this, now, patient, shared.leave().deadline(patient));
        requests.add(frame.tag(), call, now);
    }

    /**
     * What can't be used gets one answer, with what is wrong as its body where that can be said, and nothing is sent
     * on.
     */
    private void unusable(RespParser.Frame frame, int profile, long now, String fields, String why) {
        shared.counters().add(Counter.BAD_REQUESTS);
        release(frame.body());
        ended(profile, PendingRequest.Outcome.FAILED);
        boolean whole = written(() -> answers.write(frame.tag(), "FAILED", fields, why));
        watched(null, profile, Response.failed(), now, whole);
        offence();
    }

    /** The same again and again, at full speed, costs others their time. */
    private void offence() {
        offences++;
        if (offences > MOST_OFFENCES && requests.isEmpty()) {
            shared.counters().add(Counter.CLIENT_GARBAGE);
            endWhenAnswered();
        }
    }

    /** Takes nothing more, and ends the connection behind the answers to what is open. */
    private void endWhenAnswered() {
        intake.end();
        endIfAnswered();
    }

    private void endIfAnswered() {
        if (intake.ended() && requests.isEmpty()) {
            socket.halfClose();
        }
    }

    private void takeBack(long tag, long now) {
        PendingRequest unsent = requests.takeBack(tag, now);
        if (unsent != null) {
            shared.counters().add(Counter.GIVEN_UP_BY_CLIENT);
            release(unsent.clientRequest().body());
        }
        endIfAnswered();
    }

    @Override
    protected long untilDueWorkUs() {
        long next = requests.isEmpty()
                ? requests.nextAt()
                : Math.min(requests.nextAt(), shared.leave().answeredBy());
        long wait = next == Long.MAX_VALUE
                ? Long.MAX_VALUE
                : Math.max(0, next - shared.clock().now());
        if (leaves()) {
            wait = Math.min(wait, Math.max(0, (answers.drainedAt() - System.nanoTime()) / 1_000 + 1));
        }
        return wait == Long.MAX_VALUE ? -1 : wait;
    }

    /** Whether it is time to take leave, and nothing stands against it but what the client has yet to read. */
    private boolean leaves() {
        return usage.hasAsked() && !busy() && !intake.ended() && shared.leave().closes() && !reader.inHand();
    }

    @Override
    protected void runDueWork() {
        if (leaves()) {
            leaveIfDone();
        }
        long now = shared.clock().now();
        if (now >= shared.leave().answeredBy()) {
            failOpen();
        }
        for (RequestWindow.Numbered late : requests.overdue(now)) {
            // Decided early: nothing was sent for it, and the client may still go elsewhere.
            PendingRequest call = late.call();
            shared.counters().add(Counter.CLIENT_BOUND);
            release(call.clientRequest().body());
            refuse(late.tag(), call.clientRequest().classIndex(), call.clientRequest());
            requests.ended();
        }
        endIfAnswered();
    }

    /** The process ends: what was taken before it was told so, and has more time than it, is failed while it can be. */
    private void failOpen() {
        releaseWaiting();
        for (RequestWindow.Numbered each : requests.dropAll()) {
            finish(each.tag(), each.call(), Response.failed());
        }
        requests.ended();
    }

    private void releaseWaiting() {
        requests.dropWaiting().forEach(call -> release(call.clientRequest().body()));
    }

    private static void release(Body body) {
        if (body != null) {
            body.release();
        }
    }

    @Override
    public void respond(PendingRequest call, Response answer) {
        if (!offerReserved(() -> answering(call, answer))) {
            release(answer.body());
            if (!stopped()) {
                // Never seen: requests taken back at the very moment of their answer would have to fill the reserve.
                shared.counters().add(Counter.MAILBOX_FULL);
                close();
            }
        }
    }

    private void answering(PendingRequest call, Response answer) {
        Long tag = requests.answered(call);
        if (tag != null) {
            finish(tag, call, answer);
            requests.ended();
            if (answer.outcome() == PendingRequest.Outcome.SERVED) {
                requests.grow();
            }
            requests.admit();
            endIfAnswered();
        }
        release(answer.body());
    }

    private void finish(long tag, PendingRequest call, Response answer) {
        int profile = call.clientRequest().classIndex();
        ended(profile, answer.outcome());
        boolean whole = written(() -> answers.write(tag, answer));
        watched(call.clientRequest(), profile, answer, call.receivedAtUs(), whole);
    }

    /** Turned away here, before the module has heard of it; {@code ask} is null where its fields were not read. */
    private void refuse(long tag, int profile, PendingRequest.ClientRequest ask) {
        ended(profile, PendingRequest.Outcome.REJECTED);
        Response answer = Response.rejected(shared.engine().retryAfterUs());
        boolean whole = written(() -> answers.write(tag, answer));
        watched(ask, profile, answer, shared.clock().now(), whole);
    }

    private void watched(PendingRequest.ClientRequest ask, int profile, Response answer, long takenAt, boolean whole) {
        if (shared.watch() != ResponseListener.NONE) {
            shared.watch().responseSent(addresses(), ask, profile, answer, takenAt, answers.written(), whole);
        }
    }

    private void ended(int profile, PendingRequest.Outcome end) {
        if (profile >= 0) {
            shared.figures().requestEnded(profile, end);
        }
    }

    private interface Writing {
        void run() throws IOException;
    }

    private void write(long tag, String word, String fields) {
        written(() -> answers.write(tag, word, fields, ""));
    }

    /** False where an answer could not be written whole. */
    private boolean written(Writing writing) {
        try {
            writing.run();
            return true;
        } catch (IOException e) {
            close();
            // At once: the reader may wait for room here, and what it has read would still be sent on.
            stop();
            return false;
        } finally {
            usage.used();
        }
    }

    @Override
    protected void onTerminated() {
        close();
        // The client is gone, and with it whoever waited for these.
        releaseWaiting();
        requests.dropAll();
        requests.ended();
        onEnd.accept(this);
    }
}
