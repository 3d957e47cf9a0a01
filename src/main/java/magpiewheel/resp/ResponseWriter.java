package magpiewheel.resp;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.StringJoiner;
import java.util.concurrent.TimeUnit;
import magpiewheel.engine.Body;
import magpiewheel.engine.PendingRequest;
import magpiewheel.engine.PendingRequest.Response;

/**
 * Writes the responses on one connection in their order, as fast as the client reads them; used by the connection's
 * actor. Other threads may query the progress.
 */
final class ResponseWriter {
    /** Receives the end of one response. */
    interface Completion {
        /** The response was written, or failed if {@code complete} is false; {@code bytes} were accepted. */
        void ended(boolean complete, long bytes);
    }

    /** ns; maximum time to write one response. */
    private static final long WRITE_TIMEOUT_NS = TimeUnit.SECONDS.toNanos(10);
    /** ns per byte; slow clients read 1 MB/s. */
    static final long READ_NS_PER_BYTE = 1_000;
    /** ns; time in which a slow client takes what the system holds for it. */
    private static final long SYSTEM_BUFFER_READ_NS = SocketTransport.SYSTEM_BUFFER_BYTES * READ_NS_PER_BYTE;

    private static final ByteBuffer LINE_END =
            ByteBuffer.wrap(new byte[] {'\r', '\n'}).asReadOnlyBuffer();

    /** A response that is not written completely. It owns a reference to its body, if it has one. */
    private static final class Outgoing {
        private final ByteBuffer head;
        private final Body body;
        private final ByteBuffer end;
        private final Completion completion;
        private int bodyPosition;
        private ByteBuffer chunk;
        private long written;

        Outgoing(byte[] head, Body body, Completion completion) {
            this.head = ByteBuffer.wrap(head);
            this.body = body;
            this.end = body == null ? null : LINE_END.duplicate();
            this.completion = completion;
        }

        /** Returns the bytes to write next, or null if there are none. */
        ByteBuffer next() {
            if (head.hasRemaining()) {
                return head;
            }
            if (chunk != null && chunk.hasRemaining()) {
                return chunk;
            }
            if (body != null && bodyPosition < body.length()) {
                chunk = body.chunkAt(bodyPosition);
                bodyPosition += chunk.remaining();
                return chunk;
            }
            return end != null && end.hasRemaining() ? end : null;
        }

        int length() {
            return body == null ? 0 : body.length();
        }

        int buffers() {
            return body == null ? 0 : body.bufferCount();
        }

        void finish(boolean complete) {
            if (body != null) {
                body.release();
            }
            completion.ended(complete, written);
        }
    }

    private final ClientTransport transport;
    private final ArrayDeque<Outgoing> unwritten = new ArrayDeque<>();
    private volatile int unwrittenResponses;
    private volatile int heldBuffers;
    private volatile long unwrittenBytes;
    /** Whether the system was full when a response was last written; used by the actor. */
    private boolean blocked;

    private volatile long writingSince;
    private volatile long progressAt = System.nanoTime();
    private volatile long allReadAt = System.nanoTime();

    ResponseWriter(ClientTransport transport) {
        this.transport = transport;
    }

    /** Whether a response is being written. Thread-safe. */
    boolean writing() {
        return unwrittenResponses > 0;
    }

    /** Returns the number of responses that are not written completely. Thread-safe. */
    int unwrittenResponses() {
        return unwrittenResponses;
    }

    /** Returns the bytes of the bodies of these responses; what is written of the first one counts. Thread-safe. */
    long unwrittenBytes() {
        return unwrittenBytes;
    }

    /** Returns the number of pooled buffers that these responses hold. Thread-safe. */
    int heldBuffers() {
        return heldBuffers;
    }

    /**
     * Returns for how long (ns) the client has accepted nothing of a response; 0 if none is being written. Thread-safe.
     */
    long stalledNs(long now) {
        return writing() ? Math.max(0, now - progressAt) : 0;
    }

    /** Whether the client has not accepted a response within the write time-out. Thread-safe. */
    boolean stuck(long now) {
        long from = writingSince;
        return from != 0 && now - from > WRITE_TIMEOUT_NS;
    }

    /** Whether, by estimate, the client has read everything that was written to it. Thread-safe. */
    boolean allRead(long now) {
        return now - allReadAt >= 0;
    }

    /**
     * Whether, by estimate, the client's system has taken everything that was written, so that a reset of the
     * connection loses nothing of it. Thread-safe.
     */
    boolean delivered(long now) {
        return !writing() && (allRead(now) || now - progressAt >= SYSTEM_BUFFER_READ_NS);
    }

    /** ns; estimated time by which even a slow client has read everything that was written. */
    long allReadAt() {
        return allReadAt;
    }

    /** Writes a response of the engine. Takes over the reference to its body. */
    void write(long tag, Response response, Completion completion) throws IOException {
        switch (response.outcome()) {
            case SERVED -> write(tag, "OK", fields(response), response.body(), completion);
            case UNCHANGED -> write(tag, "OK", fields(response), "", completion);
            case REJECTED ->
                write(
                        tag,
                        "BUSY",
                        response.retryAfterUs() > 0 ? "pause=" + response.retryAfterUs() / 1000 : "",
                        "",
                        completion);
            default -> write(tag, "FAILED", "", "", completion);
        }
    }

    private static String fields(Response response) {
        StringJoiner fields = new StringJoiner(",");
        if (response.outcome() == PendingRequest.Outcome.UNCHANGED) {
            fields.add("unchanged=1");
        }
        if (response.tag() != null) {
            fields.add("ver=" + response.tag());
        }
        if (response.markMs() > 0) {
            fields.add("mark=" + response.markMs());
        }
        if (response.ageMs() != 0) {
            fields.add("aged=" + response.ageMs());
        }
        return fields.toString();
    }

    /** Writes a response with a body, or without one if {@code body} is null. Takes over the reference to the body. */
    private void write(long tag, String word, String fields, Body body, Completion completion) throws IOException {
        int length = body == null ? 0 : body.length();
        String head = head(tag, word, fields, length) + (length == 0 ? "\r\n" : "");
        if (body != null && length == 0) {
            body.release();
        }
        enqueue(new Outgoing(bytes(head), length == 0 ? null : body, completion));
    }

    /** Writes a response with a text as its body. */
    void write(long tag, String word, String fields, String text, Completion completion) throws IOException {
        enqueue(new Outgoing(bytes(head(tag, word, fields, text.length()) + text + "\r\n"), null, completion));
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    private void enqueue(Outgoing response) throws IOException {
        long now = System.nanoTime();
        allReadAt = now + Math.max(0, allReadAt - now) + response.length() * READ_NS_PER_BYTE;
        unwritten.addLast(response);
        heldBuffers += response.buffers();
        unwrittenBytes += response.length();
        if (unwritten.size() > 1) {
            unwrittenResponses = unwritten.size();
            return;
        }
        // Before the count: other threads must not take an earlier progress for a stall of this response.
        writingSince = now;
        progressAt = now;
        unwrittenResponses = 1;
        flush();
    }

    /** Writes what the client accepts; the rest follows once the transport is writable. */
    void flush() throws IOException {
        while (!unwritten.isEmpty()) {
            Outgoing first = unwritten.peekFirst();
            if (!writeAll(first)) {
                blocked = true;
                transport.awaitWritable();
                return;
            }
            remove(true);
            writingSince = unwritten.isEmpty() ? 0 : System.nanoTime();
        }
        if (blocked) {
            // The client reads more slowly than estimated, and what the system holds is unread.
            blocked = false;
            long now = System.nanoTime();
            allReadAt = now + Math.max(allReadAt - now, SYSTEM_BUFFER_READ_NS);
        }
    }

    /** Returns false if the client accepts no more for now. */
    private boolean writeAll(Outgoing response) throws IOException {
        for (ByteBuffer next = response.next(); next != null; next = response.next()) {
            int count = transport.write(next);
            response.written += count;
            if (count > 0) {
                progressAt = System.nanoTime();
            }
            if (next.hasRemaining()) {
                return false;
            }
        }
        return true;
    }

    private void remove(boolean complete) {
        Outgoing first = unwritten.pollFirst();
        unwrittenResponses = unwritten.size();
        heldBuffers -= first.buffers();
        unwrittenBytes -= first.length();
        first.finish(complete);
    }

    /** Fails all responses that are not written: the connection has ended. */
    void abort() {
        while (!unwritten.isEmpty()) {
            remove(false);
        }
        writingSince = 0;
    }

    private static String head(long tag, String word, String fields, int length) {
        String number = Long.toUnsignedString(tag);
        return "*4\r\n$" + number.length() + "\r\n" + number + "\r\n$" + word.length() + "\r\n" + word + "\r\n$"
                + fields.length() + "\r\n" + fields + "\r\n$" + length + "\r\n";
    }
}
