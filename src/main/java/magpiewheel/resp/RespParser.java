package magpiewheel.resp;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import magpiewheel.engine.Body;
import magpiewheel.engine.BufferPool;

/** Reads RESP arrays of bulk strings from a client; checks every length before allocating memory for it. */
final class RespParser {
    private static final int MAX_ARRAY_LENGTH = 5;
    private static final int MAX_STRING_BYTES = 2_048;
    private static final int MAX_BODY_BYTES = 48_000;
    private static final int MAX_NUMBER_DIGITS = 12;
    private static final long BUFFER_WAIT_MS = 50;
    private static final int BODY_INDEX = 4;

    /**
     * A frame; {@code className} is the third element, and {@code bodyRefused} is true if no buffers were free for the
     * body.
     */
    record Frame(String verb, long tag, String className, String fields, Body body, boolean bodyRefused) {
        /** Returns the request's trace for the log, also if its fields are not valid; "none" without one. */
        String trace() {
            Matcher trace = TRACE_FIELD.matcher(fields);
            return trace.find() ? trace.group(1) : "none";
        }
    }

    private static final Pattern TRACE_FIELD = Pattern.compile("\\btrace=([0-9a-f]{1,16})");

    /** The input violates the protocol. */
    static final class MalformedFrameException extends IOException {
        private static final long serialVersionUID = 1L;

        MalformedFrameException(String what) {
            super(what);
        }
    }

    private final InputStream in;
    private final byte[] buffer;
    private final BufferPool pool;
    private int position;
    private int end;
    private volatile long frameStartedAt;
    private volatile long lastReadAt = System.nanoTime();
    private volatile boolean inBody;
    private volatile boolean hasUnadmittedInput = true;

    /** Continues after a first byte that has already been read. */
    RespParser(InputStream in, byte[] buffer, int first, BufferPool pool) {
        this.in = in;
        this.buffer = buffer;
        this.pool = pool;
        buffer[0] = (byte) first;
        end = 1;
    }

    /** ns; when the first byte of the frame being read arrived; 0 between frames. Thread-safe. */
    long frameStartedAt() {
        return frameStartedAt;
    }

    /** ns; when bytes were last read: some clients write a request in many pieces. Thread-safe. */
    long lastReadAt() {
        return lastReadAt;
    }

    /** Whether bytes were read of a request that admission control does not count yet. Thread-safe. */
    boolean hasUnadmittedInput() {
        return hasUnadmittedInput;
    }

    /** Records that admission control counts the last frame. */
    void frameAdmitted() {
        hasUnadmittedInput = position != end;
    }

    /** Whether a request body is being read. Thread-safe. */
    boolean inBody() {
        return inBody;
    }

    /** Returns the next frame, or null at a clean end of the stream. */
    Frame next() throws IOException {
        frameStartedAt = 0;
        inBody = false;
        if (position == end && !fillBuffer()) {
            return null;
        }
        frameStartedAt = System.nanoTime() | 1;
        int parts = readNumber('*');
        if (parts < 2 || parts > MAX_ARRAY_LENGTH) {
            throw new MalformedFrameException("array of " + parts + " elements");
        }
        String[] words = {"", "", "", ""};
        Body body = null;
        boolean refused = false;
        for (int i = 0; i < parts; i++) {
            int length = readNumber('$');
            if (length < 0 || length > (i == BODY_INDEX ? MAX_BODY_BYTES : MAX_STRING_BYTES)) {
                throw new MalformedFrameException("bulk string of " + length + " bytes");
            }
            if (i < BODY_INDEX) {
                words[i] = new String(readBytes(length), StandardCharsets.ISO_8859_1);
            } else if (length > 0) {
                inBody = true;
                body = pool.acquire(length, BUFFER_WAIT_MS);
                refused = body == null;
                readBody(body, length);
            }
            readLineEnd(body);
        }
        return new Frame(words[0], parseTag(words[1], body), words[2], words[3], body, refused);
    }

    private static long parseTag(String text, Body body) throws MalformedFrameException {
        try {
            long tag = Long.parseLong(text);
            // The response repeats the tag, so only its canonical decimal form is accepted.
            if (tag >= 1 && text.equals(Long.toString(tag))) {
                return tag;
            }
        } catch (NumberFormatException e) {
            // Reported below.
        }
        if (body != null) {
            body.release();
        }
        throw new MalformedFrameException("invalid request tag: " + text);
    }

    private void readBody(Body body, int length) throws IOException {
        try {
            if (body == null) {
                for (int rest = length; rest > 0; rest--) {
                    readByte();
                }
            } else {
                body.readFrom(new InputStream() {
                    @Override
                    public int read() throws IOException {
                        return readByte();
                    }

                    @Override
                    public int read(byte[] to, int from, int count) throws IOException {
                        if (position == end && !fillBuffer()) {
                            return -1;
                        }
                        int part = Math.min(count, end - position);
                        System.arraycopy(buffer, position, to, from, part);
                        position += part;
                        return part;
                    }
                });
            }
        } catch (IOException e) {
            if (body != null) {
                body.release();
            }
            throw e;
        }
    }

    private void readLineEnd(Body body) throws IOException {
        try {
            if (readByte() != '\r' || readByte() != '\n') {
                throw new MalformedFrameException("bulk string without CRLF at its end");
            }
        } catch (IOException e) {
            if (body != null) {
                body.release();
            }
            throw e;
        }
    }

    private int readNumber(char marker) throws IOException {
        if (readByte() != marker) {
            throw new MalformedFrameException("expected type byte " + marker);
        }
        int value = 0;
        for (int digits = 0; ; digits++) {
            int next = readByte();
            if (next == '\r' && digits > 0) {
                if (readByte() != '\n') {
                    throw new MalformedFrameException("length without LF after CR");
                }
                return value;
            }
            if (next < '0' || next > '9' || digits >= MAX_NUMBER_DIGITS || value > MAX_BODY_BYTES) {
                throw new MalformedFrameException("invalid length");
            }
            value = value * 10 + next - '0';
        }
    }

    private byte[] readBytes(int length) throws IOException {
        byte[] bytes = new byte[length];
        for (int i = 0; i < length; i++) {
            bytes[i] = (byte) readByte();
        }
        return bytes;
    }

    private int readByte() throws IOException {
        if (position == end && !fillBuffer()) {
            throw new EOFException();
        }
        return Byte.toUnsignedInt(buffer[position++]);
    }

    private boolean fillBuffer() throws IOException {
        position = 0;
        end = Math.max(0, in.read(buffer, 0, buffer.length));
        hasUnadmittedInput = true;
        lastReadAt = System.nanoTime();
        return end > 0;
    }
}
