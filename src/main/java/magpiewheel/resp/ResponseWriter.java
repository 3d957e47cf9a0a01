package magpiewheel.resp;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.StringJoiner;
import java.util.concurrent.TimeUnit;
import magpiewheel.engine.Body;
import magpiewheel.engine.PendingRequest;
import magpiewheel.engine.PendingRequest.Response;

/** Writes the responses on one connection; used by its actor. Other threads may query the progress. */
final class ResponseWriter {
    /** ns; maximum time to write one response. */
    private static final long WRITE_TIMEOUT_NS = TimeUnit.SECONDS.toNanos(10);
    /** ns per byte; slow clients read 1 MB/s. */
    private static final long READ_NS_PER_BYTE = 1_000;

    private static final byte[] LINE_END = {'\r', '\n'};

    private OutputStream out;
    private long bytesWritten;
    private volatile long writingSince;
    private volatile long allReadAt = System.nanoTime();

    /** Sets the output stream; must be called before the first response. */
    void setOutput(OutputStream stream) {
        out = stream;
    }

    /** Whether a response is being written. Thread-safe. */
    boolean writing() {
        return writingSince != 0;
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

    /** ns; estimated time by which even a slow client has read everything that was written. */
    long allReadAt() {
        return allReadAt;
    }

    /** Returns the number of bytes of the last response that the socket accepted. */
    long bytesWritten() {
        return bytesWritten;
    }

    /** Writes a response of the engine. */
    void write(long tag, Response response) throws IOException {
        switch (response.outcome()) {
            case SERVED -> write(tag, "OK", fields(response), response.body());
            case UNCHANGED -> write(tag, "OK", fields(response), "");
            case REJECTED ->
                write(tag, "BUSY", response.retryAfterUs() > 0 ? "pause=" + response.retryAfterUs() / 1000 : "", "");
            default -> write(tag, "FAILED", "", "");
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

    /** Writes a response with a body, or without one if {@code body} is null. */
    void write(long tag, String word, String fields, Body body) throws IOException {
        int length = body == null ? 0 : body.length();
        begin(length);
        try {
            send(head(tag, word, fields, length) + (length == 0 ? "\r\n" : ""));
            if (length > 0) {
                body.writeTo(out, count -> bytesWritten += count);
                out.write(LINE_END);
                bytesWritten += LINE_END.length;
            }
        } finally {
            writingSince = 0;
        }
    }

    /** Writes a response with a text as its body. */
    void write(long tag, String word, String fields, String text) throws IOException {
        begin(0);
        try {
            send(head(tag, word, fields, text.length()) + text + "\r\n");
        } finally {
            writingSince = 0;
        }
    }

    private void begin(int length) {
        long now = System.nanoTime();
        writingSince = now;
        allReadAt = now + Math.max(0, allReadAt - now) + length * READ_NS_PER_BYTE;
        bytesWritten = 0;
    }

    private void send(String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        out.write(bytes);
        bytesWritten += bytes.length;
    }

    private static String head(long tag, String word, String fields, int length) {
        String number = Long.toUnsignedString(tag);
        return "*4\r\n$" + number.length() + "\r\n" + number + "\r\n$" + word.length() + "\r\n" + word + "\r\n$"
                + fields.length() + "\r\n" + fields + "\r\n$" + length + "\r\n";
    }
}
