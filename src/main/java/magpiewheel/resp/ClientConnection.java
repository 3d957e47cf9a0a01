package magpiewheel.resp;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.StringJoiner;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import magpiewheel.core.Actor;
import magpiewheel.core.AnswerWatch;
import magpiewheel.core.Body;
import magpiewheel.core.BufferPool;
import magpiewheel.core.Call;
import magpiewheel.core.Call.Answer;
import magpiewheel.core.Counter;
import magpiewheel.core.Ipv4;
import magpiewheel.pins.HintException;
import magpiewheel.resp.RespFront.Shared;

/**
 * The actor of one client connection: it owns what is open on it and writes the answers; a reader of its own takes the
 * frames in. With a full mailbox the reader waits; answers come in the reserve, one for each request let in. A
 * connection that says nothing costs its reader's thread and no buffer.
 *
 * <p>Of the requests open here only so many are with the module at once (the window): a burst, or hundreds of requests
 * taken back at once, must not reach the nodes in place of others' requests. The window grows with each request served.
 */
final class ClientConnection extends Actor implements Call.Asker {
    private static final int MAILBOX = 64;
    /** As many as the protocol lets be open on a connection. */
    private static final int MOST_OPEN = 32;

    private static final int FIRST_WINDOW = 8;
    /** us; so long a request taken back still counts in the window, which outlasts a burst read in one go. */
    private static final long TAKEN_BACK_US = 50_000;
    /** us; the longest that a request waits here for the window: short against every class's aim. */
    private static final long WAIT_US = 150_000;
    /** Requests that can't be used, or over the bound, that one client may send; behind them it is closed. */
    private static final int MOST_OFFENCES = 16;
    /** us; taken off the patience for the way of the answer back. */
    private static final long WAY_BACK_US = 10_000;
    /** ns; the longest that one answer may take to be written, and a connection be idle. */
    private static final long STUCK_NS = TimeUnit.SECONDS.toNanos(10);

    private static final long IDLE_NS = TimeUnit.SECONDS.toNanos(10);
    /**
     * ns; the longest to the first request, and from a request's first byte to its last (clients far off take 2 s to
     * write one, bad ones are owed an end within 3 s); with a body, longer.
     */
    private static final long SILENT_NS = TimeUnit.MILLISECONDS.toNanos(2_400);

    private static final long BODY_NS = TimeUnit.MILLISECONDS.toNanos(4_500);
    /**
     * ns; younger connections are never closed to make room: their request may be on its way. Measured on full fronts,
     * 999 in 1,000 come sooner; each newcomer of a crowd keeps its place for so long from those who ask.
     */
    private static final long YOUNG_NS = TimeUnit.MILLISECONDS.toNanos(20);

    private static final long UNUSED_NS = TimeUnit.MILLISECONDS.toNanos(150);
    private static final long UNUSED_ASKED_NS = TimeUnit.MILLISECONDS.toNanos(60);
    private static final long UNUSED_SILENT_NS = TimeUnit.MILLISECONDS.toNanos(500);
    /** ns; half a request that grew so lately is work: written in pieces, it is served in the end. */
    private static final long GROWS_NS = TimeUnit.MILLISECONDS.toNanos(300);
    /** ns a byte; slow clients read 1 MB a second. */
    private static final long READ_NS = 1_000;
    /** ns; above any time unused: what divides the ranks of {@link #spare}. */
    private static final long RANK = Long.MAX_VALUE / 4;

    private static final byte[] LINE_END = {'\r', '\n'};

    private record Waiting(Call call, long until) {}

    private final Socket socket;
    private final Shared shared;
    private final Consumer<ClientConnection> onEnd;
    /** By tag. The actor's; the reader marks what its client has given up. */
    private final Map<Long, Call> open = new ConcurrentHashMap<>();
    /** Tags that the reader saw taken back, until the actor has worked that off. */
    private final Set<Long> takenBackTags = ConcurrentHashMap.newKeySet();

    private final Map<Call, Long> tags = new HashMap<>();
    private final ArrayDeque<Waiting> waiting = new ArrayDeque<>();
    private final ArrayDeque<Long> takenBack = new ArrayDeque<>();
    private final long since = System.nanoTime();
    private int inModule;
    private int window = FIRST_WINDOW;
    private int offences;
    private OutputStream out;
    /** Octets of the last answer that the socket took. */
    private long written;

    private volatile RespReader reader;
    private volatile boolean asked;
    private volatile boolean wanted;
    private volatile long writingSince;
    private volatile long lastUsed = since;
    private volatile int openCount;
    /** ns; when leave was taken of the client; 0 while it is served. */
    private volatile long leftSince;
    /** ns; by then a slow client, too, has read all that was written. */
    private volatile long drainedAt = since;
    /** Frames that were read and not worked off yet: work like any other. */
    private final AtomicInteger unread = new AtomicInteger();

    ClientConnection(Socket socket, Shared shared, Consumer<ClientConnection> onEnd) {
        super("client", MAILBOX, 4 * MOST_OPEN, shared.counters());
        this.socket = socket;
        this.shared = shared;
        this.onEnd = onEnd;
    }

    @Override
    public Call.Ends ends() {
        InetSocketAddress here = (InetSocketAddress) socket.getLocalSocketAddress();
        InetSocketAddress there = (InetSocketAddress) socket.getRemoteSocketAddress();
        return here == null || there == null
                ? null
                : new Call.Ends(Ipv4.number(here), here.getPort(), Ipv4.number(there), there.getPort());
    }

    void begin() throws IOException {
        socket.setTcpNoDelay(true);
        out = socket.getOutputStream();
        start(shared.crew());
        shared.crew().read(this::read);
    }

    // ---------------------------------------------------------------- looked at by the front's thread

    /** Closes a client that takes nothing, says nothing, or never ends what it says. */
    void sweep(long now) {
        long since = writingSince;
        long left = leftSince;
        if (left != 0 && shared.leave().over(left, spokeSince(left), now)
                || since != 0 && now - since > STUCK_NS
                || !busy() && now - lastUsed > IDLE_NS) {
            close();
        } else if (!busy() && halfSince() != 0 && now - halfSince() > patience()) {
            shared.counters().add(Counter.CLIENTS_SILENT);
            close();
        }
    }

    private boolean spokeSince(long then) {
        RespReader frames = reader;
        return frames != null && frames.grewAt() - then > 0;
    }

    /** ns; when what it owes to say began: its first request, or the one it is in the middle of. 0: it owes nothing. */
    private long halfSince() {
        RespReader now = reader;
        long frame = now == null ? 0 : now.frameSince();
        return frame != 0 ? frame : asked ? 0 : since;
    }

    private long patience() {
        RespReader now = reader;
        return now != null && now.inBody() ? BODY_NS : SILENT_NS;
    }

    /**
     * How gladly it is closed when the front is full: the silent first, then those that only asked how the front is,
     * then the longest unused; 0 for one with work open, or so young that a request may be on its way.
     */
    long spare(long now) {
        long unused = now - lastUsed;
        RespReader frames = reader;
        long half = frames == null ? 0 : frames.frameSince();
        // A frame that is just being read is work; one that has been for a while is half a request.
        // And one closed while its client still reads could cut off an answer: a request that meets a close resets.
        if (busy()
                || writingSince != 0
                || !drained(now)
                || unused < YOUNG_NS
                || half != 0 && now - frames.grewAt() < GROWS_NS) {
            return 0;
        }
        return halfSince() != 0 ? 2 * RANK + unused : wanted ? unused : RANK + unused;
    }

    /** Whether nobody has used it for so long that, beyond some, it may go: one that was silent, a bit later. */
    boolean unused(long now, boolean crowded) {
        long limit = halfSince() != 0 ? UNUSED_SILENT_NS : wanted && !crowded ? UNUSED_NS : UNUSED_ASKED_NS;
        return spare(now) > 0 && now - lastUsed > limit;
    }

    /** Closes it unless something came meanwhile: looked at last of all, so that no request falls in between. */
    boolean closeUnused() {
        if (spare(System.nanoTime()) == 0 || hasUnread()) {
            return false;
        }
        try {
            // The reader sees the end and closes: that costs much less than a close under a thread that reads.
            socket.shutdownInput();
        } catch (IOException e) {
            close();
        }
        return true;
    }

    /** Requests taken on it and not yet ended. */
    int open() {
        return openCount;
    }

    /** Whether its client has read all that was written to it, as far as one can know. */
    boolean drained(long now) {
        return now - drainedAt >= 0;
    }

    /** Takes leave of a client that has been silent for a moment; behind an answer it is done sooner. */
    void takeLeave() {
        if (leftSince == 0 && spare(System.nanoTime()) > 0) {
            offer(this::leaveIfDone);
        }
    }

    /**
     * On the actor, so that no request of this client is being worked on, and once the client has read everything: it
     * would see the end only behind what it has yet to read, and write requests meanwhile that nobody answers.
     */
    private void leaveIfDone() {
        if (leftSince != 0
                || !open.isEmpty()
                || unread.get() > 0
                || !drained(System.nanoTime())
                || hasUnread()
                || inHand()) {
            return;
        }
        leftSince = System.nanoTime() | 1;
        shared.counters().add(Counter.SENT_AWAY);
        try {
            socket.shutdownOutput();
        } catch (IOException e) {
            close();
        }
    }

    /** Whether an answer is owed or on its way. */
    boolean busy() {
        return openCount > 0 || unread.get() > 0;
    }

    /** Whether its reader holds part of a request, or one behind those that were handed on, and it grew lately. */
    private boolean inHand() {
        RespReader frames = reader;
        return frames != null && frames.inHand() && System.nanoTime() - frames.grewAt() < GROWS_NS;
    }

    /** Whether bytes have come that nobody has read: on a busy machine a reader may be late for its turn. */
    private boolean hasUnread() {
        try {
            return socket.getInputStream().available() > 0;
        } catch (IOException e) {
            return false;
        }
    }

    void close() {
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed all the same.
        }
    }

    // ---------------------------------------------------------------- the reader

    private void read() {
        Body buffer = null;
        try {
            InputStream in = socket.getInputStream();
            int first = in.read();
            buffer = first < 0 ? null : shared.pool().take(BufferPool.SIZE, 0);
            if (buffer != null) {
                RespReader frames = new RespReader(in, buffer.first(), first, shared.pool());
                reader = frames;
                for (RespReader.Frame frame = frames.next(); frame != null; frame = frames.next()) {
                    taken(frame, frames);
                }
            }
        } catch (RespReader.Malformed e) {
            shared.counters().add(Counter.CLIENT_GARBAGE);
        } catch (IOException e) {
            // Reset or closed.
        } catch (RuntimeException e) {
            shared.counters().add(Counter.FAULTS);
            System.err.println("client-reader: " + e + " at " + e.getStackTrace()[0]);
        } finally {
            if (buffer != null) {
                buffer.release();
            }
            close();
            open.values().forEach(Call::abandon);
            stopAndTurn();
        }
    }

    private void taken(RespReader.Frame frame, RespReader from) {
        long now = shared.clock().now();
        asked = true;
        lastUsed = System.nanoTime();
        // Counted before it waits for its turn: a connection closed meanwhile to make room would come again at once.
        unread.incrementAndGet();
        from.handedOn();
        if (frame.verb().equals("NEVERMIND")) {
            abandon(frame.tag());
        }
        if (!putAndTurn(() -> {
            try {
                handle(frame, now);
            } finally {
                unread.decrementAndGet();
            }
        })) {
            release(frame.body());
        }
    }

    /** Counts at once, however long the actor is held up by a client that takes nothing. */
    private void abandon(long tag) {
        takenBackTags.add(tag);
        Call call = open.get(tag);
        if (call != null) {
            call.abandon();
        }
    }

    // ---------------------------------------------------------------- the actor

    private void handle(RespReader.Frame frame, long now) {
        lastUsed = System.nanoTime();
        long tag = frame.tag();
        switch (frame.verb()) {
            case "ASK" -> ask(frame, now);
            case "NEVERMIND" -> takeBack(tag, now);
            case "STATUS" -> write(tag, shared.up().getAsBoolean() ? "UP" : "DOWN", "", null);
            case "COUNTERS" -> write(tag, "OK", shared.counters().toString(), null);
            default -> {
                shared.counters().add(Counter.BAD_REQUESTS);
                write(tag, "FAILED", "", null);
                offence();
            }
        }
        if (!frame.verb().equals("ASK")) {
            release(frame.body());
        }
    }

    private void ask(RespReader.Frame frame, long now) {
        if (stopped() || leftSince != 0) {
            // It crossed the end of the connection: the client sends it again elsewhere.
            release(frame.body());
            return;
        }
        int profile = shared.classes().indexOf(frame.word());
        if (open.containsKey(frame.tag())) {
            // Two answers under one number would look like one: it gets an error, and no other answer any more.
            shared.counters().add(Counter.BAD_REQUESTS);
            release(frame.body());
            write(frame.tag(), "FAILED", "", null);
            close();
            return;
        }
        if (open.size() >= MOST_OPEN || frame.bodyRefused()) {
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
        Call.Ask ask;
        try {
            ask = AskFields.read(frame, shared.classes(), shared.deadlinesUs(), shared.hints());
        } catch (HintException e) {
            unusable(frame, profile, now, "error=hint", e.getMessage());
            return;
        }
        if (ask == null) {
            unusable(frame, profile, now, "", "");
            return;
        }
        wanted = true;
        long patient = now + Math.max(1, ask.patienceUs() - WAY_BACK_US);
        Call call = new Call(ask, this, now, patient, shared.leave().deadline(patient));
        open.put(frame.tag(), call);
        if (takenBackTags.contains(frame.tag())) {
            call.abandon();
        }
        tags.put(call, frame.tag());
        openCount = open.size();
        waiting.addLast(new Waiting(call, now + Math.min(WAIT_US, ask.patienceUs() / 4)));
        admit();
    }

    /**
     * What can't be used gets one answer, with what is wrong as its body where that can be said, and nothing is sent
     * on.
     */
    private void unusable(RespReader.Frame frame, int profile, long now, String fields, String why) {
        shared.counters().add(Counter.BAD_REQUESTS);
        release(frame.body());
        ended(profile, Call.End.FAILED);
        boolean whole = write(frame.tag(), "FAILED", fields, null, why);
        watched(null, profile, Answer.failed(), now, whole);
        offence();
    }

    /** The same again and again, at full speed, costs others their time. */
    private void offence() {
        offences++;
        if (offences > MOST_OFFENCES && open.isEmpty()) {
            shared.counters().add(Counter.CLIENT_GARBAGE);
            close();
        }
    }

    private void takeBack(long tag, long now) {
        takenBackTags.remove(tag);
        Call call = open.remove(tag);
        if (call == null) {
            return;
        }
        tags.remove(call);
        openCount = open.size();
        if (waiting.removeIf(each -> each.call() == call)) {
            shared.counters().add(Counter.GIVEN_UP_BY_CLIENT);
            release(call.ask().body());
            return;
        }
        inModule--;
        takenBack.addLast(now + TAKEN_BACK_US);
        shared.engine().gone(call);
    }

    /** Gives the module what the window has room for. */
    private void admit() {
        while (!waiting.isEmpty() && inModule + takenBack.size() < window) {
            inModule++;
            shared.engine().take(waiting.pollFirst().call());
        }
    }

    @Override
    protected long idleUs() {
        long next = Math.min(
                takenBack.isEmpty() ? Long.MAX_VALUE : takenBack.peekFirst(),
                waiting.isEmpty() ? Long.MAX_VALUE : waiting.peekFirst().until());
        long wait = next == Long.MAX_VALUE
                ? Long.MAX_VALUE
                : Math.max(0, next - shared.clock().now());
        if (leaves()) {
            wait = Math.min(wait, Math.max(0, (drainedAt - System.nanoTime()) / 1_000 + 1));
        }
        return wait == Long.MAX_VALUE ? -1 : wait;
    }

    /** Whether it is time to take leave, and nothing stands against it but what the client has yet to read. */
    private boolean leaves() {
        return leftSince == 0
                && asked
                && open.isEmpty()
                && unread.get() == 0
                && shared.leave().closes()
                && !inHand();
    }

    @Override
    protected void due() {
        if (leaves()) {
            leaveIfDone();
        }
        if (takenBack.isEmpty() && waiting.isEmpty()) {
            return;
        }
        long now = shared.clock().now();
        while (!takenBack.isEmpty() && takenBack.peekFirst() <= now) {
            takenBack.pollFirst();
        }
        admit();
        while (!waiting.isEmpty() && waiting.peekFirst().until() <= now) {
            // Decided early: nothing was sent for it, and the client may still go elsewhere.
            Call call = waiting.pollFirst().call();
            shared.counters().add(Counter.CLIENT_BOUND);
            release(call.ask().body());
            Long tag = tags.remove(call);
            open.remove(tag);
            refuse(tag, call.ask().profile(), call.ask());
            openCount = open.size();
        }
    }

    private static void release(Body body) {
        if (body != null) {
            body.release();
        }
    }

    @Override
    public void answer(Call call, Answer answer) {
        if (!offerReserved(() -> answering(call, answer))) {
            release(answer.body());
            if (!stopped()) {
                // Never seen: requests taken back at the very moment of their answer would have to fill the reserve.
                shared.counters().add(Counter.MAILBOX_FULL);
                close();
            }
        }
    }

    private void answering(Call call, Answer answer) {
        Long tag = tags.remove(call);
        if (tag != null) {
            inModule--;
            open.remove(tag);
            ended(call.ask().profile(), answer.end());
            boolean whole = switch (answer.end()) {
                case SERVED -> write(tag, "OK", fields(answer), answer.body());
                case UNCHANGED -> write(tag, "OK", fields(answer), null);
                case REFUSED -> busy(tag, answer.pauseUs());
                default -> write(tag, "FAILED", "", null);
            };
            watched(call.ask(), call.ask().profile(), answer, call.takenAt(), whole);
            // Only now: a front that ends waits for what is still being written.
            openCount = open.size();
            window = answer.end() == Call.End.SERVED ? Math.min(MOST_OPEN, window + 1) : window;
            admit();
        }
        release(answer.body());
    }

    private static String fields(Answer answer) {
        StringJoiner fields = new StringJoiner(",");
        if (answer.end() == Call.End.UNCHANGED) {
            fields.add("unchanged=1");
        }
        if (answer.tag() != null) {
            fields.add("ver=" + answer.tag());
        }
        if (answer.markMs() > 0) {
            fields.add("mark=" + answer.markMs());
        }
        if (answer.agedMs() != 0) {
            fields.add("aged=" + answer.agedMs());
        }
        return fields.toString();
    }

    /** Turned away here, before the module has heard of it; {@code ask} is null where its fields were not read. */
    private void refuse(long tag, int profile, Call.Ask ask) {
        ended(profile, Call.End.REFUSED);
        boolean whole = busy(tag, shared.engine().pauseUs());
        watched(
                ask,
                profile,
                Answer.refused(shared.engine().pauseUs()),
                shared.clock().now(),
                whole);
    }

    private void watched(Call.Ask ask, int profile, Answer answer, long takenAt, boolean whole) {
        if (shared.watch() != AnswerWatch.NONE) {
            shared.watch().sent(ends(), ask, profile, answer, takenAt, written, whole);
        }
    }

    private void ended(int profile, Call.End end) {
        if (profile >= 0) {
            shared.figures().ended(profile, end);
        }
    }

    private boolean busy(long tag, long pauseUs) {
        return write(tag, "BUSY", pauseUs > 0 ? "pause=" + pauseUs / 1000 : "", null);
    }

    private boolean write(long tag, String word, String fields, Body body) {
        return write(tag, word, fields, body, "");
    }

    /**
     * Writes an answer, with a body or else with words in its place; false where it could not be written whole.
     * {@link #written} tells how much was.
     */
    private boolean write(long tag, String word, String fields, Body body, String words) {
        String number = Long.toUnsignedString(tag);
        int length = body == null ? 0 : body.length();
        String head = "*4\r\n$" + number.length() + "\r\n" + number + "\r\n$" + word.length() + "\r\n" + word
                + "\r\n$" + fields.length() + "\r\n" + fields + "\r\n$" + (length + words.length()) + "\r\n"
                + (length == 0 ? words + "\r\n" : "");
        writingSince = System.nanoTime();
        drainedAt = writingSince + Math.max(0, drainedAt - writingSince) + length * READ_NS;
        boolean whole = true;
        written = 0;
        try {
            byte[] first = head.getBytes(StandardCharsets.ISO_8859_1);
            out.write(first);
            written = first.length;
            if (length > 0) {
                body.writeTo(out, octets -> written += octets);
                out.write(LINE_END);
                written += LINE_END.length;
            }
        } catch (IOException e) {
            whole = false;
            close();
        }
        writingSince = 0;
        lastUsed = System.nanoTime();
        return whole;
    }

    @Override
    protected void left() {
        close();
        // The client is gone, and with it whoever waited for these.
        waiting.forEach(each -> {
            open.values().remove(each.call());
            release(each.call().ask().body());
        });
        open.values().forEach(shared.engine()::gone);
        openCount = 0;
        onEnd.accept(this);
    }
}
