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
import java.util.concurrent.atomic.AtomicReference;
import magpiewheel.engine.Attempt;
import magpiewheel.engine.Body;
import magpiewheel.engine.Counter;
import magpiewheel.engine.EventLog;
import magpiewheel.engine.Ipv4;
import magpiewheel.engine.ListedEndpoint;
import magpiewheel.engine.PendingRequest;
import magpiewheel.engine.UpstreamOutcome;
import magpiewheel.routing.AttemptPlan;
import magpiewheel.routing.AttemptResult;
import magpiewheel.upstream.UpstreamPool.Shared;

/**
 * One connection to an endpoint, in the line protocol. Its reader thread connects and then reads responses; requests
 * are written on the endpoint's actor.
 */
final class UpstreamConnection {
    private static final int MAX_LINE_LENGTH = 2_048;
    private static final int READ_BUFFER_BYTES = 4_096;
    /** Larger than the largest request body, so that a write never blocks on a host that has stopped responding. */
    private static final int SEND_BUFFER_BYTES = 160 * 1024;

    /** The reason of the ordinary end of a connection, which is not logged. */
    static final String IDLE_TIMEOUT = "idle-timeout";

    private static final long BODY_BUFFER_WAIT_MS = 300;

    /**
     * The attempt that uses this connection, or null. Written only on the endpoint's actor; the reader matches
     * responses against it.
     */
    volatile Attempt attempt;
    /** Set after data that belongs to no request; no further request is sent on this connection. */
    volatile boolean desynchronized;
    /**
     * When the connection last became idle, as {@link System#nanoTime}; 0 if it never was. Used only on the endpoint's
     * actor.
     */
    long idleSinceNs;
    /**
     * Whether a second connection was opened for the attempt that waits for this one. Used only on the endpoint's
     * actor.
     */
    boolean hasBackup;

    /** Unix us; when it was opened; 0 before that. */
    private volatile long openedAtUs;

    private final UpstreamEndpoint endpoint;
    private final ListedEndpoint listed;
    private final Shared shared;
    private final Socket socket;
    private final AtomicReference<String> closeReason = new AtomicReference<>();
    private volatile OutputStream out;

    UpstreamConnection(UpstreamEndpoint endpoint, ListedEndpoint listed, Shared shared) {
        this.endpoint = endpoint;
        this.listed = listed;
        this.shared = shared;
        this.socket = shared.socketFactory().get();
    }

    void start() {
        shared.workers().runReader(this::run);
    }

    /** Whether a request may be written to this connection. */
    boolean isUsable() {
        return !desynchronized && !isClosed();
    }

    /** Unix us; when it was opened; 0 before that. */
    long openedAtUs() {
        return openedAtUs;
    }

    /** Whether the connection was idle before its current attempt. */
    boolean isReused() {
        return idleSinceNs != 0;
    }

    /**
     * Returns when (Unix us) the attempt that waits for this connection to open must be checked: first at half of the
     * time in which the attempt may begin, to open a second connection, then at the end of that time.
     */
    long nextCheckAtUs() {
        Attempt waiting = attempt;
        if (waiting == null) {
            return Long.MAX_VALUE;
        }
        return hasBackup ? waiting.startByUs() : waiting.sentAtUs() + (waiting.startByUs() - waiting.sentAtUs()) / 2;
    }

    boolean isClosed() {
        return socket.isClosed();
    }

    /** Closes the connection; the first reason given is logged. Thread-safe. */
    void close(String reason) {
        closeReason.compareAndSet(null, reason);
        try {
            socket.close();
        } catch (IOException e) {
            // The socket counts as closed even if closing it failed.
        }
    }

    private void run() {
        AttemptResult endResult = AttemptResult.UNREACHABLE;
        shared.openConnections().add(this);
        try {
            socket.setTcpNoDelay(true);
            socket.setSendBufferSize(SEND_BUFFER_BYTES);
            socket.connect(
                    new InetSocketAddress(Ipv4.toAddress(listed.address()), listed.port()), shared.dialTimeoutMs());
            out = socket.getOutputStream();
            openedAtUs = shared.clock().now();
            endResult = AttemptResult.CONNECTION_LOST;
            endpoint.connected(this);
            InputStream in = new BufferedInputStream(socket.getInputStream(), READ_BUFFER_BYTES);
            while (readResponse(in)) {
                Thread.onSpinWait();
            }
            closeReason.compareAndSet(null, "end-of-stream");
        } catch (ResponseLine.MalformedResponseException e) {
            shared.counters().add(Counter.NODE_GARBAGE);
            endResult = AttemptResult.CORRUPT;
            closeReason.compareAndSet(null, "malformed-response: " + e.getMessage());
        } catch (IOException e) {
            // Connection refused, reset or closed: reported to the endpoint's actor below.
            closeReason.compareAndSet(null, e.toString());
        } catch (RuntimeException e) {
            shared.counters().add(Counter.FAULTS);
            System.err.println("endpoint-reader: " + e + " at " + e.getStackTrace()[0]);
        } finally {
            close("fault");
            shared.openConnections().remove(this);
            logEnd();
            endpoint.disconnected(this, endResult);
        }
    }

    private void logEnd() {
        String reason = closeReason.get();
        if (!reason.equals(IDLE_TIMEOUT)) {
            Attempt open = attempt;
            EventLog.log(
                    EventLog.Event.ENDPOINT_CLOSED,
                    "endpoint=" + nodeName(listed.info().id()) + " reason=" + reason + " trace="
                            + (open == null
                                    ? "none"
                                    : open.request().clientRequest().trace()));
        }
    }

    // ---------------------------------------------------------------- writing, on the endpoint's actor

    /**
     * Writes a request; returns false if the operating system accepted no byte of its line. The line is a single write
     * to an empty send buffer with room for it, so it is accepted whole or, if the connection has ended, not at all.
     */
    boolean writeRequest(Attempt attempt) throws IOException {
        PendingRequest.ClientRequest ask = attempt.request().clientRequest();
        AttemptPlan plan = attempt.plan();
        StringBuilder line =
                new StringBuilder("serve ").append(ask.trace()).append(" cls=").append(ask.className());
        line.append(",item=").append(toHex(ask.object())).append(",chunk=").append(ask.part());
        long now = shared.clock().now() / 1_000;
        line.append(",limit=").append(Math.max(1, attempt.timeoutAtUs() / 1000 - now));
        appendField(line, "nonce", ask.nonce());
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
        addOption(options, plan.joinFill(), "ride");
        addOption(options, plan.cachedOnly(), "have-only");
        addOption(options, plan.bypassParentCache(), "through");
        addOption(options, plan.revalidate(), "update");
        appendField(line, "opts", options.isEmpty() ? null : String.join("+", options));
        appendField(line, "known", ask.heldTag());
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

    void cancel(Attempt cancelled) {
        try {
            if (out != null) {
                out.write(("cancel " + cancelled.request().clientRequest().trace() + "\r\n")
                        .getBytes(StandardCharsets.ISO_8859_1));
            }
        } catch (IOException e) {
            // The connection has ended, and the request on it with it.
        }
        close("cancel trace=" + cancelled.request().clientRequest().trace());
    }

    private static void appendField(StringBuilder line, String name, String value) {
        if (value != null) {
            line.append(',').append(name).append('=').append(value);
        }
    }

    private static void addOption(List<String> options, boolean set, String word) {
        if (set) {
            options.add(word);
        }
    }

    private static String toHex(long value) {
        return HexFormat.of().toHexDigits(value);
    }

    static String nodeName(long id) {
        return "s-" + HexFormat.of().toHexDigits((int) id);
    }

    // ---------------------------------------------------------------- reading

    /** Reads one response and passes it to the endpoint's actor; returns false at the end of the stream. */
    private boolean readResponse(InputStream in) throws IOException {
        String text = readLine(in);
        if (text != null && text.isEmpty()) {
            // The line end after the previous body; some endpoints omit it after a response without a body.
            text = readLine(in);
        }
        if (text == null) {
            return false;
        }
        ResponseLine line = ResponseLine.parse(text);
        Attempt current = attempt;
        if (current == null || !current.request().clientRequest().trace().equals(line.id())) {
            // An unknown id or a duplicate response: no buffer is taken for it, and the connection is closed after the
            // response to the current request.
            shared.counters().add(Counter.NODE_STRAYS);
            in.skipNBytes(line.length());
            expectLineEnd(in, line.length());
            endpoint.unexpectedResponse(this);
            return true;
        }
        boolean hasBody = line.result() == AttemptResult.OK && !line.unchanged();
        Body body = hasBody ? shared.bufferPool().acquire(line.length(), BODY_BUFFER_WAIT_MS) : null;
        boolean delivered = false;
        try {
            if (body != null) {
                body.readFrom(in);
            } else {
                in.skipNBytes(line.length());
            }
            expectLineEnd(in, line.length());
            boolean invalid = line.result() == AttemptResult.OK
                    && !hasValidCopyFields(line, current.request().clientRequest());
            if (invalid) {
                throw new ResponseLine.MalformedResponseException("copy lacks tag or minted, or KEEP without known");
            }
            // Data that has already arrived after the response belongs to no request.
            if (in.available() > 0 && !onlyLineEndRemains(in, line.length())) {
                // Only ever set here, never cleared: the actor may have set it in the meantime.
                desynchronized = true;
            }
            UpstreamOutcome outcome = hasBody && body == null
                    ? UpstreamOutcome.of(AttemptResult.ERROR)
                    : new UpstreamOutcome(
                            line.result(),
                            line.cacheStatus(),
                            line.firstByteUs(),
                            body,
                            line.tag(),
                            line.unchanged(),
                            shared.clock().now(),
                            line.originTimeMs());
            delivered = endpoint.responseReceived(this, current, outcome);
        } finally {
            // Also after exceptions: a buffer that is not released is lost to the shared pool.
            if (!delivered && body != null) {
                body.release();
            }
        }
        return true;
    }

    /**
     * Whether a successful response has the fields it needs: "unchanged" is valid only if the client named the copy
     * that it holds, and a copy needs tag and origin time except for writes, which produce no copy.
     */
    private boolean hasValidCopyFields(ResponseLine line, PendingRequest.ClientRequest ask) {
        return line.unchanged()
                ? ask.heldTag() != null
                : line.identifiesCopy() || shared.writeClasses()[ask.classIndex()];
    }

    private static boolean onlyLineEndRemains(InputStream in, int length) throws IOException {
        return length == 0 && in.available() == 2;
    }

    private static void expectLineEnd(InputStream in, int length) throws IOException {
        if (length > 0) {
            expect(in, '\r');
            expect(in, '\n');
        }
    }

    private static void expect(InputStream in, char octet) throws IOException {
        int next = in.read();
        if (next < 0) {
            throw new EOFException("response truncated: stream ended before the line end after the body");
        }
        if (next != octet) {
            throw new ResponseLine.MalformedResponseException("no CRLF after the response body: got byte " + next);
        }
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next >= 0; next = in.read()) {
            if (next == '\n') {
                int length = line.length();
                if (length == 0 || line.charAt(length - 1) != '\r') {
                    throw new ResponseLine.MalformedResponseException("response line ends with LF instead of CRLF");
                }
                line.setLength(length - 1);
                return line.toString();
            }
            if (line.length() >= MAX_LINE_LENGTH) {
                throw new ResponseLine.MalformedResponseException(
                        "response line longer than " + MAX_LINE_LENGTH + " characters");
            }
            line.append((char) next);
        }
        return null;
    }
}
