package magpiewheel.upstream;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import magpiewheel.engine.Attempt;
import magpiewheel.engine.Body;
import magpiewheel.engine.Counter;
import magpiewheel.engine.Ipv4;
import magpiewheel.engine.ListedEndpoint;
import magpiewheel.engine.PendingRequest;
import magpiewheel.engine.UpstreamOutcome;
import magpiewheel.routing.AttemptPlan;
import magpiewheel.routing.AttemptResult;
import magpiewheel.upstream.UpstreamPool.Shared;

/** One connection to a node, in the line protocol: its reader dials and then reads, the node's actor writes. */
final class UpstreamConnection {
    private static final int LONGEST_LINE = 2_048;
    private static final int READ_BUFFER = 4_096;
    /** Above the largest request body, so that a write never waits for a machine that has fallen silent. */
    private static final int SEND_BUFFER = 160 * 1024;

    private static final long BUFFER_WAIT_MS = 300;

    /** Set by the node's actor alone; the reader looks whose answer it reads. */
    volatile Attempt attempt;
    /** What came was not asked for: nothing is sent here any more. */
    volatile boolean outOfStep;
    /** The node's actor's: since when it has been idle; 0 for one that never was. */
    long idleSince;
    /** The node's actor's: another connection was begun for the attempt that waits for this one. */
    boolean backedUp;

    private final UpstreamEndpoint node;
    private final ListedEndpoint listed;
    private final Shared shared;
    private final Socket socket;
    private volatile OutputStream out;

    UpstreamConnection(UpstreamEndpoint node, ListedEndpoint listed, Shared shared) {
        this.node = node;
        this.listed = listed;
        this.shared = shared;
        this.socket = shared.sockets().get();
    }

    void start() {
        shared.crew().runReader(this::run);
    }

    /** Whether another request may be written to it. */
    boolean usable() {
        return !outOfStep && !closed();
    }

    /** Whether it was unused before what it carries now. */
    boolean wasIdle() {
        return idleSince != 0;
    }

    /**
     * While it comes up: when something is to be done for the attempt that waits for it, at half of the time in which
     * that may begin, and at its end.
     */
    long attendAt() {
        Attempt waits = attempt;
        if (waits == null) {
            return Long.MAX_VALUE;
        }
        return backedUp ? waits.startByUs() : waits.sentAtUs() + (waits.startByUs() - waits.sentAtUs()) / 2;
    }

    boolean closed() {
        return socket.isClosed();
    }

    void close() {
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed all the same.
        }
    }

    private void run() {
        AttemptResult ended = AttemptResult.UNREACHABLE;
        try {
            socket.setTcpNoDelay(true);
            socket.setSendBufferSize(SEND_BUFFER);
            socket.connect(
                    new InetSocketAddress(Ipv4.toAddress(listed.address()), listed.port()), shared.dialTimeoutMs());
            out = socket.getOutputStream();
            ended = AttemptResult.CONNECTION_LOST;
            node.up(this);
            InputStream in = new BufferedInputStream(socket.getInputStream(), READ_BUFFER);
            while (answer(in)) {
                Thread.onSpinWait();
            }
        } catch (ResponseLine.Garbage e) {
            shared.counters().add(Counter.NODE_GARBAGE);
            ended = AttemptResult.CORRUPT;
        } catch (IOException e) {
            // Refused, reset or closed: told by `down`.
        } catch (RuntimeException e) {
            shared.counters().add(Counter.FAULTS);
            System.err.println("node-reader: " + e + " at " + e.getStackTrace()[0]);
        } finally {
            close();
            node.down(this, ended);
        }
    }

    // ---------------------------------------------------------------- writing, on the node's actor

    /**
     * Writes a request; false where the machine took no byte of its line. That is one write to an empty buffer with
     * room for it, so the machine takes it whole or, if the connection has ended, not at all.
     */
    boolean serve(Attempt attempt) throws IOException {
        PendingRequest.ClientRequest ask = attempt.request().clientRequest();
        AttemptPlan plan = attempt.plan();
        StringBuilder line =
                new StringBuilder("serve ").append(ask.trace()).append(" cls=").append(ask.className());
        line.append(",item=").append(hex(ask.object())).append(",chunk=").append(ask.part());
        long now = shared.clock().now() / 1_000;
        line.append(",limit=").append(Math.max(1, attempt.timeoutAtUs() / 1000 - now));
        field(line, "nonce", ask.nonce());
        if (plan.fillSource() != attempt.endpointId()) {
            line.append(",via=").append(nodeName(plan.fillSource()));
        }
        if (plan.retentionRank() > 0) {
            line.append(",tier=").append(plan.retentionRank());
        }
        if (plan.maxAgeUs() > 0) {
            line.append(",fresh=").append(Math.max(1, plan.maxAgeUs() / 1000));
        }
        List<String> options = new ArrayList<>();
        option(options, plan.joinFill(), "ride");
        option(options, plan.cachedOnly(), "have-only");
        option(options, plan.bypassParentCache(), "through");
        option(options, plan.revalidate(), "update");
        field(line, "opts", options.isEmpty() ? null : String.join("+", options));
        field(line, "known", ask.heldTag());
        Body body = ask.body();
        line.append(' ').append(body == null ? 0 : body.length()).append(body == null ? "\r\n\r\n" : "\r\n");
        try {
            out.write(line.toString().getBytes(StandardCharsets.ISO_8859_1));
        } catch (IOException e) {
            return false;
        }
        if (body != null) {
            body.writeTo(out);
            out.write('\r');
            out.write('\n');
        }
        shared.counters().add(Counter.WRITTEN);
        return true;
    }

    void cancel(Attempt given) {
        try {
            if (out != null) {
                out.write(("cancel " + given.request().clientRequest().trace() + "\r\n")
                        .getBytes(StandardCharsets.ISO_8859_1));
            }
        } catch (IOException e) {
            // The connection is gone, and with it what was open on it.
        }
        close();
    }

    private static void field(StringBuilder line, String name, String value) {
        if (value != null) {
            line.append(',').append(name).append('=').append(value);
        }
    }

    private static void option(List<String> options, boolean set, String word) {
        if (set) {
            options.add(word);
        }
    }

    private static String hex(long value) {
        return HexFormat.of().toHexDigits(value);
    }

    private static String nodeName(long id) {
        return "s-" + HexFormat.of().toHexDigits((int) id);
    }

    // ---------------------------------------------------------------- reading

    /** Reads one answer and hands it on; false at the end of the stream. */
    private boolean answer(InputStream in) throws IOException {
        String text = line(in);
        if (text != null && text.isEmpty()) {
            // The end of the body before; without a body some leave it out.
            text = line(in);
        }
        if (text == null) {
            return false;
        }
        ResponseLine line = ResponseLine.read(text);
        Attempt mine = attempt;
        if (mine == null || !mine.request().clientRequest().trace().equals(line.id())) {
            // Under an unknown id, or a second copy: it takes no room, and behind the next answer the connection ends.
            shared.counters().add(Counter.NODE_STRAYS);
            in.skipNBytes(line.length());
            lineEnd(in, line.length());
            node.strayed(this);
            return true;
        }
        boolean brings = line.result() == AttemptResult.OK && !line.unchanged();
        Body body = brings ? shared.pool().acquire(line.length(), BUFFER_WAIT_MS) : null;
        boolean handed = false;
        try {
            if (body != null) {
                body.readFrom(in);
            } else {
                in.skipNBytes(line.length());
            }
            lineEnd(in, line.length());
            boolean misfit = line.result() == AttemptResult.OK
                    && !fits(line, mine.request().clientRequest());
            if (misfit) {
                throw new ResponseLine.Garbage("a copy without its tag, or one that was not held");
            }
            // What has come behind the answer belongs to nothing that was asked for.
            if (in.available() > 0 && !restIsLineEnd(in, line.length())) {
                // Set, and never taken back here: the actor may have set it since.
                outOfStep = true;
            }
            UpstreamOutcome outcome = brings && body == null
                    ? UpstreamOutcome.of(AttemptResult.ERROR)
                    : new UpstreamOutcome(
                            line.result(),
                            line.note(),
                            line.lagUs(),
                            body,
                            line.tag(),
                            line.unchanged(),
                            shared.clock().now(),
                            line.mintedMs());
            handed = node.answered(this, mine, outcome);
        } finally {
            // On every way out, faults included: room that is not given back is lost to all.
            if (!handed && body != null) {
                body.release();
            }
        }
        return true;
    }

    /** A copy names itself, but for writes, which leave none; and only a copy that the client holds can hold. */
    private boolean fits(ResponseLine line, PendingRequest.ClientRequest ask) {
        return line.unchanged() ? ask.heldTag() != null : line.namesItsCopy() || shared.writes()[ask.classIndex()];
    }

    private static boolean restIsLineEnd(InputStream in, int length) throws IOException {
        return length == 0 && in.available() == 2;
    }

    private static void lineEnd(InputStream in, int length) throws IOException {
        if (length > 0) {
            expect(in, '\r');
            expect(in, '\n');
        }
    }

    private static void expect(InputStream in, char octet) throws IOException {
        int next = in.read();
        if (next < 0) {
            throw new EOFException("the answer ends early");
        }
        if (next != octet) {
            throw new ResponseLine.Garbage("no line end after a body");
        }
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next >= 0; next = in.read()) {
            if (next == '\n') {
                int length = line.length();
                if (length == 0 || line.charAt(length - 1) != '\r') {
                    throw new ResponseLine.Garbage("a line without its return");
                }
                line.setLength(length - 1);
                return line.toString();
            }
            if (line.length() >= LONGEST_LINE) {
                throw new ResponseLine.Garbage("a line without end");
            }
            line.append((char) next);
        }
        return null;
    }
}
