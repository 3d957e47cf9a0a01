package magpiewheel.resp;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import magpiewheel.core.Actor;
import magpiewheel.core.Body;
import magpiewheel.core.BufferPool;
import magpiewheel.core.Call.Answer;
import magpiewheel.core.Call;
import magpiewheel.core.Counter;
import magpiewheel.core.Ipv4;
import magpiewheel.resp.RespFront.Shared;

/**
 * The actor of one client connection: it owns what is open on it and writes the answers; a reader of its own
 * takes the frames in. With a full mailbox the reader waits; an answer that finds no room closes the connection.
 */
final class ClientConnection extends Actor implements Call.Asker {
    private static final int MAILBOX = 128;
    private static final int MOST_OPEN = 64;
    /** us; taken off the patience for the way of the answer back. */
    private static final long WAY_BACK_US = 10_000;
    /** ns; the longest that one answer may take to be written, and a connection be idle. */
    private static final long STUCK_NS = 10_000_000_000L;
    private static final long IDLE_NS = 30_000_000_000L;
    private final Socket socket;
    private final Shared shared;
    private final Consumer<ClientConnection> onEnd;
    private final Map<Long, Call> open = new HashMap<>();
    private final Map<Call, Long> tags = new HashMap<>();
    private OutputStream out;
    private Call.Ends ends;
    private volatile long writingSince;
    private volatile long lastUsed = System.nanoTime();
    private volatile int openCount;

    ClientConnection(Socket socket, Shared shared, Consumer<ClientConnection> onEnd) {
        super("client", MAILBOX, shared.counters());
        this.socket = socket;
        this.shared = shared;
        this.onEnd = onEnd;
    }

    @Override
    public Call.Ends ends() {
        return ends;
    }

    void begin() throws IOException {
        socket.setTcpNoDelay(true);
        InetSocketAddress here = (InetSocketAddress) socket.getLocalSocketAddress();
        InetSocketAddress there = (InetSocketAddress) socket.getRemoteSocketAddress();
        ends = new Call.Ends(Ipv4.number(here), here.getPort(), Ipv4.number(there), there.getPort());
        out = socket.getOutputStream();
        start();
        Actor.thread("client-reader", this::read).start();
    }

    /** Called now and then by another thread: a client that takes nothing must not hold on to buffers. */
    void sweep() {
        long now = System.nanoTime();
        long since = writingSince;
        boolean idle = openCount == 0 && now - lastUsed > IDLE_NS;
        if (since != 0 && now - since > STUCK_NS || idle) {
            close();
        }
    }

    /** Whether an answer is owed or on its way. */
    boolean busy() {
        return openCount > 0;
    }

    private void close() {
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed all the same.
        }
    }

    // ---------------------------------------------------------------- the reader

    private void read() {
        Body buffer = shared.pool().take(BufferPool.SIZE, 0);
        try {
            if (buffer != null) {
                RespReader reader = new RespReader(socket.getInputStream(), buffer.first(), shared.pool());
                for (RespReader.Frame frame = reader.next(); frame != null; frame = reader.next()) {
                    RespReader.Frame taken = frame;
                    long now = shared.clock().now();
                    if (!put(() -> handle(taken, now)) && taken.body() != null) {
                        taken.body().release();
                    }
                }
            }
        } catch (RespReader.Malformed e) {
            shared.counters().add(Counter.CLIENT_GARBAGE);
        } catch (IOException e) {
            // Reset or closed.
        } finally {
            if (buffer != null) {
                buffer.release();
            }
            close();
            stop();
        }
    }

    // ---------------------------------------------------------------- the actor

    private void handle(RespReader.Frame frame, long now) {
        lastUsed = System.nanoTime();
        long tag = frame.tag();
        switch (frame.verb()) {
            case "ASK" -> ask(frame, now);
            case "NEVERMIND" -> {
                Call call = open.remove(tag);
                if (call != null) {
                    tags.remove(call);
                    openCount = open.size();
                    shared.engine().gone(call);
                }
            }
            case "STATUS" -> write(tag, shared.up().getAsBoolean() ? "UP" : "DOWN", "", null);
            case "COUNTERS" -> write(tag, "OK", shared.counters().toString(), null);
            default -> {
                shared.counters().add(Counter.BAD_REQUESTS);
                write(tag, "FAILED", "", null);
            }
        }
    }

    private void ask(RespReader.Frame frame, long now) {
        if (stopped() || open.size() >= MOST_OPEN || frame.bodyRefused()) {
            release(frame.body());
            write(frame.tag(), "BUSY", "", null);
            return;
        }
        Call.Ask ask = AskFields.read(frame, shared.classes(), shared.deadlinesUs());
        if (ask == null || open.containsKey(frame.tag())) {
            shared.counters().add(Counter.BAD_REQUESTS);
            release(frame.body());
            write(frame.tag(), "FAILED", "", null);
            return;
        }
        Call call = new Call(ask, this, now, now + Math.max(1, ask.patienceUs() - WAY_BACK_US));
        open.put(frame.tag(), call);
        tags.put(call, frame.tag());
        openCount = open.size();
        shared.engine().take(call);
    }

    private static void release(Body body) {
        if (body != null) {
            body.release();
        }
    }

    @Override
    public void answer(Call call, Answer answer) {
        if (!offer(() -> answering(call, answer))) {
            release(answer.body());
            if (!stopped()) {
                shared.counters().add(Counter.MAILBOX_FULL);
                close();
            }
        }
    }

    private void answering(Call call, Answer answer) {
        Long tag = tags.remove(call);
        if (tag != null) {
            open.remove(tag);
            String ver = answer.tag() == null ? "" : "ver=" + answer.tag();
            switch (answer.end()) {
                case SERVED -> write(tag, "OK", ver, answer.body());
                case UNCHANGED -> write(tag, "OK", "unchanged=1" + (ver.isEmpty() ? "" : "," + ver), null);
                case REFUSED -> write(tag, "BUSY", answer.pauseUs() > 0 ? "pause=" + answer.pauseUs() / 1000 : "",
                        null);
                default -> write(tag, "FAILED", "", null);
            }
            // Only now: a front that ends waits for what is still being written.
            openCount = open.size();
        }
        release(answer.body());
    }

    private void write(long tag, String word, String fields, Body body) {
        String number = Long.toUnsignedString(tag);
        int length = body == null ? 0 : body.length();
        String head = "*4\r\n$" + number.length() + "\r\n" + number + "\r\n$" + word.length() + "\r\n" + word
                + "\r\n$" + fields.length() + "\r\n" + fields + "\r\n$" + length + "\r\n" + (length == 0 ? "\r\n" : "");
        writingSince = System.nanoTime();
        try {
            out.write(head.getBytes(StandardCharsets.ISO_8859_1));
            if (length > 0) {
                body.writeTo(out);
                out.write('\r');
                out.write('\n');
            }
        } catch (IOException e) {
            close();
        }
        writingSince = 0;
        lastUsed = System.nanoTime();
    }

    @Override
    protected void left() {
        close();
        // The client is gone, and with it whoever waited for these.
        open.values().forEach(shared.engine()::gone);
        onEnd.accept(this);
    }
}
