package magpiewheel.resp;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import magpiewheel.engine.Body;
import magpiewheel.engine.BufferPool;

/** Reads RESP arrays of bulk strings from a client; every length is checked before room is taken for it. */
final class RespParser {
    private static final int MOST_PARTS = 5;
    private static final int LONGEST_PART = 2_048;
    private static final int LARGEST_BODY = 48_000;
    private static final int LONGEST_NUMBER = 12;
    private static final long BUFFER_WAIT_MS = 50;
    private static final int BODY_PART = 4;

    /** A frame: verb, tag, and what stands behind them; {@code bodyRefused} where there was no room for it. */
    record Frame(String verb, long tag, String word, String fields, Body body, boolean bodyRefused) {}

    /** The client does not keep to the form. */
    static final class Malformed extends IOException {
        private static final long serialVersionUID = 1L;

        Malformed(String what) {
            super(what);
        }
    }

    private final InputStream in;
    private final byte[] buffer;
    private final BufferPool pool;
    private int at;
    private int end;
    private volatile long frameSince;
    private volatile long grewAt = System.nanoTime();
    private volatile boolean inBody;
    private volatile boolean inHand = true;

    /** Reads on behind a first byte that was read already. */
    RespParser(InputStream in, byte[] buffer, int first, BufferPool pool) {
        this.in = in;
        this.buffer = buffer;
        this.pool = pool;
        buffer[0] = (byte) first;
        end = 1;
    }

    /** ns; when the first byte of the frame came that is being read; 0 between frames. For other threads to look at. */
    long frameSince() {
        return frameSince;
    }

    /** ns; when bytes came last: some clients write a request in many pieces. For other threads to look at. */
    long grewAt() {
        return grewAt;
    }

    /** Whether bytes were read whose request nobody knows of yet. For other threads to look at. */
    boolean inHand() {
        return inHand;
    }

    /** Others know of the frame that came last. */
    void handedOn() {
        inHand = at != end;
    }

    /** Whether a body is being read. */
    boolean inBody() {
        return inBody;
    }

    /** The next frame; null at a clean end. */
    Frame next() throws IOException {
        frameSince = 0;
        inBody = false;
        if (at == end && !more()) {
            return null;
        }
        frameSince = System.nanoTime() | 1;
        int parts = number('*');
        if (parts < 2 || parts > MOST_PARTS) {
            throw new Malformed("an array of " + parts);
        }
        String[] words = {"", "", "", ""};
        Body body = null;
        boolean refused = false;
        for (int i = 0; i < parts; i++) {
            int length = number('$');
            if (length < 0 || length > (i == BODY_PART ? LARGEST_BODY : LONGEST_PART)) {
                throw new Malformed("a part of " + length + " bytes");
            }
            if (i < BODY_PART) {
                words[i] = new String(exactly(length), StandardCharsets.ISO_8859_1);
            } else if (length > 0) {
                inBody = true;
                body = pool.acquire(length, BUFFER_WAIT_MS);
                refused = body == null;
                body(body, length);
            }
            lineEnd(body);
        }
        return new Frame(words[0], tag(words[1], body), words[2], words[3], body, refused);
    }

    private static long tag(String text, Body body) throws Malformed {
        try {
            long tag = Long.parseLong(text);
            // The answer repeats it, so only the form that comes out again will do.
            if (tag >= 1 && text.equals(Long.toString(tag))) {
                return tag;
            }
        } catch (NumberFormatException e) {
            // Said below.
        }
        if (body != null) {
            body.release();
        }
        throw new Malformed("the tag " + text);
    }

    private void body(Body body, int length) throws IOException {
        try {
            if (body == null) {
                for (int rest = length; rest > 0; rest--) {
                    one();
                }
            } else {
                body.readFrom(new InputStream() {
                    @Override
                    public int read() throws IOException {
                        return one();
                    }

                    @Override
                    public int read(byte[] to, int from, int count) throws IOException {
                        if (at == end && !more()) {
                            return -1;
                        }
                        int part = Math.min(count, end - at);
                        System.arraycopy(buffer, at, to, from, part);
                        at += part;
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

    private void lineEnd(Body body) throws IOException {
        try {
            if (one() != '\r' || one() != '\n') {
                throw new Malformed("a part without its line end");
            }
        } catch (IOException e) {
            if (body != null) {
                body.release();
            }
            throw e;
        }
    }

    private int number(char mark) throws IOException {
        if (one() != mark) {
            throw new Malformed("no " + mark);
        }
        int value = 0;
        for (int digits = 0; ; digits++) {
            int next = one();
            if (next == '\r' && digits > 0) {
                if (one() != '\n') {
                    throw new Malformed("a number without its line end");
                }
                return value;
            }
            if (next < '0' || next > '9' || digits >= LONGEST_NUMBER || value > LARGEST_BODY) {
                throw new Malformed("a number that is none");
            }
            value = value * 10 + next - '0';
        }
    }

    private byte[] exactly(int length) throws IOException {
        byte[] bytes = new byte[length];
        for (int i = 0; i < length; i++) {
            bytes[i] = (byte) one();
        }
        return bytes;
    }

    private int one() throws IOException {
        if (at == end && !more()) {
            throw new EOFException();
        }
        return Byte.toUnsignedInt(buffer[at++]);
    }

    private boolean more() throws IOException {
        at = 0;
        end = Math.max(0, in.read(buffer, 0, buffer.length));
        inHand = true;
        grewAt = System.nanoTime();
        return end > 0;
    }
}
