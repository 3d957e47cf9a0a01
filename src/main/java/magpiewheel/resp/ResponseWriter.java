package magpiewheel.resp;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.StringJoiner;
import java.util.concurrent.TimeUnit;
import magpiewheel.engine.Body;
import magpiewheel.engine.PendingRequest;
import magpiewheel.engine.PendingRequest.Response;

/** Writes the answers on one connection, for its actor; other threads look how far that has come. */
final class ResponseWriter {
    /** ns; the longest that one answer may take to be written. */
    private static final long WRITE_TIMEOUT_NS = TimeUnit.SECONDS.toNanos(10);
    /** ns a byte; slow clients read 1 MB a second. */
    private static final long READ_NS_PER_BYTE = 1_000;

    private static final byte[] LINE_END = {'\r', '\n'};

    private OutputStream out;
    private long bytesWritten;
    private volatile long writingSince;
    private volatile long allReadAt = System.nanoTime();

    /** Where the answers go; set before the first of them. */
    void setOutput(OutputStream stream) {
        out = stream;
    }

    /** Whether an answer is being written. For other threads to look at. */
    boolean writing() {
        return writingSince != 0;
    }

    /** Whether the client has not taken an answer for so long that it will not. For other threads to look at. */
    boolean stuck(long now) {
        long from = writingSince;
        return from != 0 && now - from > WRITE_TIMEOUT_NS;
    }

    /** Whether the client has read all that was written to it, as far as one can know. For other threads to look at. */
    boolean allRead(long now) {
        return now - allReadAt >= 0;
    }

    /** ns; by then a slow client, too, has read all that was written. */
    long allReadAt() {
        return allReadAt;
    }

    /** Octets of the last answer that the socket took. */
    long bytesWritten() {
        return bytesWritten;
    }

    /** Writes an answer of the engine. */
    void write(long tag, Response answer) throws IOException {
        switch (answer.outcome()) {
            case SERVED -> write(tag, "OK", fields(answer), answer.body());
            case UNCHANGED -> write(tag, "OK", fields(answer), "");
            case REJECTED ->
                write(tag, "BUSY", answer.retryAfterUs() > 0 ? "pause=" + answer.retryAfterUs() / 1000 : "", "");
            default -> write(tag, "FAILED", "", "");
        }
    }

    private static String fields(Response answer) {
        StringJoiner fields = new StringJoiner(",");
        if (answer.outcome() == PendingRequest.Outcome.UNCHANGED) {
            fields.add("unchanged=1");
        }
        if (answer.tag() != null) {
            fields.add("ver=" + answer.tag());
        }
        if (answer.markMs() > 0) {
            fields.add("mark=" + answer.markMs());
        }
        if (answer.ageMs() != 0) {
            fields.add("aged=" + answer.ageMs());
        }
        return fields.toString();
    }

    /** Writes an answer with a body, or with none. */
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

    /** Likewise, with words in the place of the body. */
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
