package magpiewheel.resp;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import magpiewheel.engine.Body;
import magpiewheel.engine.BufferPool;

/**
 * Parses RESP arrays of bulk strings from a client, as far as they have been received; checks every length before
 * allocating memory for it. Used on the poller's thread.
 */
final class RespParser {
    private static final int MIN_ARRAY_LENGTH = 2;
    private static final int MAX_ARRAY_LENGTH = 5;
    private static final int MAX_STRING_BYTES = 2_048;
    private static final int MAX_BODY_BYTES = 48_000;
    private static final int MAX_NUMBER_DIGITS = 12;
    private static final int BODY_INDEX = 4;
    private static final int DECIMAL = 10;

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
    static final class MalformedFrameException extends Exception {
        private static final long serialVersionUID = 1L;

        MalformedFrameException(String what) {
            super(what);
        }
    }

    /** What the next byte belongs to. */
    private enum Part {
        ARRAY_LENGTH,
        STRING_LENGTH,
        STRING,
        BODY,
        STRING_END
    }

    private final BufferPool bodyPool;
    private Part part = Part.ARRAY_LENGTH;
    /** The digits of the number being read; -1 before its type byte. */
    private int digits = -1;

    private int number;
    private boolean numberEnds;
    private boolean lineEnds;
    private int arrayLength;
    private int index;
    private int length;
    private byte[] string;
    private int received;
    private String[] words;
    private Body body;
    private boolean bodyRefused;
    private boolean inFrame;

    RespParser(BufferPool bodyPool) {
        this.bodyPool = bodyPool;
    }

    /** Whether a frame has begun and is not complete. */
    boolean inFrame() {
        return inFrame;
    }

    /** Whether a request body is being received. */
    boolean inBody() {
        return inFrame && index == BODY_INDEX && part != Part.STRING_LENGTH;
    }

    /** Returns the buffers that the frame in progress holds for its body. */
    int heldBuffers() {
        return body == null ? 0 : body.bufferCount();
    }

    /** Parses the bytes; returns the next frame, or null if they end before it does. */
    Frame parse(ByteBuffer in) throws MalformedFrameException {
        while (in.hasRemaining()) {
            inFrame = true;
            switch (part) {
                case ARRAY_LENGTH -> {
                    if (parseNumber(in, '*')) {
                        beginArray();
                    }
                }
                case STRING_LENGTH -> {
                    if (parseNumber(in, '$')) {
                        beginString();
                    }
                }
                case STRING -> parseString(in);
                case BODY -> parseBody(in);
                default -> {
                    if (parseLineEnd(in.get())) {
                        index++;
                        part = Part.STRING_LENGTH;
                    }
                }
            }
            if (index == arrayLength && part == Part.STRING_LENGTH) {
                return endFrame();
            }
        }
        return null;
    }

    /** Releases the body of a frame that is not going to be completed. */
    void abort() {
        if (body != null) {
            body.release();
            body = null;
        }
    }

    /** Parses a length with its type byte; returns whether it is complete. */
    private boolean parseNumber(ByteBuffer in, char marker) throws MalformedFrameException {
        byte next = in.get();
        if (digits < 0) {
            if (next != marker) {
                throw new MalformedFrameException("expected type byte " + marker);
            }
            digits = 0;
            number = 0;
            return false;
        }
        if (numberEnds) {
            if (next != '\n') {
                throw new MalformedFrameException("length without LF after CR");
            }
            numberEnds = false;
            digits = -1;
            return true;
        }
        if (next == '\r' && digits > 0) {
            numberEnds = true;
            return false;
        }
        if (next < '0' || next > '9' || digits >= MAX_NUMBER_DIGITS || number > MAX_BODY_BYTES) {
            throw new MalformedFrameException("invalid length");
        }
        number = number * DECIMAL + next - '0';
        digits++;
        return false;
    }

    private void beginArray() throws MalformedFrameException {
        if (number < MIN_ARRAY_LENGTH || number > MAX_ARRAY_LENGTH) {
            throw new MalformedFrameException("array of " + number + " elements");
        }
        arrayLength = number;
        index = 0;
        words = new String[] {"", "", "", ""};
        bodyRefused = false;
        part = Part.STRING_LENGTH;
    }

    private void beginString() throws MalformedFrameException {
        length = number;
        received = 0;
        if (length > (index == BODY_INDEX ? MAX_BODY_BYTES : MAX_STRING_BYTES)) {
            throw new MalformedFrameException("bulk string of " + length + " bytes");
        }
        if (length == 0) {
            part = Part.STRING_END;
        } else if (index == BODY_INDEX) {
            body = bodyPool.acquire(length, 0);
            bodyRefused = body == null;
            part = Part.BODY;
        } else {
            string = new byte[length];
            part = Part.STRING;
        }
    }

    private void parseString(ByteBuffer in) {
        int count = Math.min(in.remaining(), length - received);
        in.get(string, received, count);
        received += count;
        if (received == length) {
            words[index] = new String(string, StandardCharsets.ISO_8859_1);
            string = null;
            part = Part.STRING_END;
        }
    }

    private void parseBody(ByteBuffer in) {
        int count = Math.min(in.remaining(), length - received);
        if (body == null) {
            in.position(in.position() + count);
        } else {
            body.put(received, in, count);
        }
        received += count;
        if (received == length) {
            part = Part.STRING_END;
        }
    }

    /** Parses one byte of the line end after a string; returns whether it is complete. */
    private boolean parseLineEnd(byte next) throws MalformedFrameException {
        if (next != (lineEnds ? '\n' : '\r')) {
            throw new MalformedFrameException("bulk string without CRLF at its end");
        }
        lineEnds = !lineEnds;
        return !lineEnds;
    }

    private Frame endFrame() throws MalformedFrameException {
        long tag = parseTag(words[1]);
        Frame frame = new Frame(words[0], tag, words[2], words[3], body, bodyRefused);
        body = null;
        words = null;
        inFrame = false;
        arrayLength = 0;
        index = 0;
        part = Part.ARRAY_LENGTH;
        return frame;
    }

    private static long parseTag(String text) throws MalformedFrameException {
        try {
            long tag = Long.parseLong(text);
            // The response repeats the tag, so only its canonical decimal form is accepted.
            if (tag >= 1 && text.equals(Long.toString(tag))) {
                return tag;
            }
        } catch (NumberFormatException e) {
            // Reported below.
        }
        throw new MalformedFrameException("invalid request tag: " + text);
    }
}
