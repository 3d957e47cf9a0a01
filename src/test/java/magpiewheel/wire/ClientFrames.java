package magpiewheel.wire;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;

/** The bytes of clients' requests, each with a trace of its own. */
final class ClientFrames {
    private static final AtomicLong TRACES = new AtomicLong(System.nanoTime() & 0xffffffffL);

    private ClientFrames() {}

    /** A frame of these words. */
    static byte[] frame(String... words) {
        StringBuilder frame = new StringBuilder("*" + words.length + "\r\n");
        for (String word : words) {
            frame.append('$').append(word.length()).append("\r\n").append(word).append("\r\n");
        }
        return frame.toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    /** The fields of a request with a new trace. */
    static String fields(long object, int part, int patienceMs) {
        return String.format(
                "trace=%016x,patience=%d,entity=%016x,piece=%d,lot=3,size=40",
                TRACES.incrementAndGet(), patienceMs, object, part);
    }

    /** A read of a part of an object. */
    static byte[] ask(long tag, String className, long object, int part, int patienceMs) {
        return frame("ASK", Long.toString(tag), className, fields(object, part, patienceMs), "");
    }

    /** A write whose body holds fewer bytes than it announces, and thus never ends unless they are equal. */
    static byte[] write(long tag, int announcedBytes, int sentBytes) {
        String fields = fields(tag, 0, 2_000) + String.format(",nonce=%032x", TRACES.get());
        String head = "*5\r\n$3\r\nASK\r\n$" + Long.toString(tag).length() + "\r\n" + tag + "\r\n$5\r\napply\r\n$"
                + fields.length() + "\r\n" + fields + "\r\n$" + announcedBytes + "\r\n";
        String end = announcedBytes == sentBytes ? "\r\n" : "";
        return (head + "y".repeat(sentBytes) + end).getBytes(StandardCharsets.ISO_8859_1);
    }

    /** A whole head of very many short fields, within the longest head that is allowed. */
    static byte[] shortFields(long tag) {
        StringBuilder fields = new StringBuilder(fields(tag, 0, 2_000));
        for (int i = 0; fields.length() < 1_990; i++) {
            fields.append(",f").append(i).append('=').append(i % 10);
        }
        return frame("ASK", Long.toString(tag), "static", fields.toString(), "");
    }
}
