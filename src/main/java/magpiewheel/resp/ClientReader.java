package magpiewheel.resp;

import java.io.IOException;
import java.io.InputStream;
import java.util.concurrent.TimeUnit;
import magpiewheel.engine.Body;
import magpiewheel.engine.BufferPool;
import magpiewheel.engine.Counter;
import magpiewheel.engine.Counters;
import magpiewheel.engine.LingeringClose;

/**
 * The reader of one connection, on a thread of its own: it hands frames on until the client ends the connection, or
 * this side does, and then reads and drops what still comes. It holds no buffer before the first byte.
 */
final class ClientReader {
    /** Where the frames go. */
    interface FrameHandler {
        /** A frame; false where the connection was ended first, and nothing is taken any more. */
        boolean onFrame(RespParser.Frame frame);

        /** What came is no frame. */
        void onMalformed();

        /** There is no room to read in. */
        void onNoBuffer();
    }

    /** ns; half a request that grew so lately is work: written in pieces, it is served in the end. */
    private static final long RECENT_INPUT_NS = TimeUnit.MILLISECONDS.toNanos(300);

    private final ClientSocket socket;
    private final BufferPool pool;
    private final Counters counters;
    private volatile RespParser parser;

    ClientReader(ClientSocket socket, BufferPool pool, Counters counters) {
        this.socket = socket;
        this.pool = pool;
        this.counters = counters;
    }

    /** Reads until the connection is over; the caller closes it then. */
    void run(FrameHandler handler) {
        Body buffer = null;
        try {
            InputStream in = socket.in();
            int first = in.read();
            if (first < 0) {
                return;
            }
            buffer = pool.acquire(BufferPool.BUFFER_BYTES, 0);
            if (buffer == null) {
                handler.onNoBuffer();
            } else {
                parser = new RespParser(in, buffer.firstBuffer(), first, pool);
                deliverFrames(parser, handler);
            }
            LingeringClose.drain(in);
        } catch (IOException e) {
            // Reset or closed.
        } catch (RuntimeException e) {
            counters.add(Counter.FAULTS);
            System.err.println("client-reader: " + e + " at " + e.getStackTrace()[0]);
        } finally {
            if (buffer != null) {
                buffer.release();
            }
        }
    }

    private static void deliverFrames(RespParser source, FrameHandler handler) throws IOException {
        try {
            RespParser.Frame frame = source.next();
            while (frame != null && handler.onFrame(frame)) {
                frame = source.next();
            }
        } catch (RespParser.MalformedFrameException e) {
            handler.onMalformed();
        }
    }

    /** On the reader: others know of the frame that came last. */
    void frameAdmitted() {
        parser.frameAdmitted();
    }

    // ---------------------------------------------------------------- for other threads to look at

    /** Whether bytes came after a time. */
    boolean receivedSince(long since) {
        RespParser current = parser;
        return current != null && current.lastReadAt() - since > 0;
    }

    /** ns; when the first byte of the frame came that is being read; 0 between frames. */
    long frameStartedAt() {
        RespParser current = parser;
        return current == null ? 0 : current.frameStartedAt();
    }

    /** Whether a body is being read. */
    boolean inBody() {
        RespParser current = parser;
        return current != null && current.inBody();
    }

    /** Whether a frame is being read, and grew lately. */
    boolean frameGrowing(long now) {
        RespParser current = parser;
        return current != null && current.frameStartedAt() != 0 && now - current.lastReadAt() < RECENT_INPUT_NS;
    }

    /** Whether it holds part of a request, or one behind those that were handed on, and that grew lately. */
    boolean hasUnadmittedInput() {
        RespParser current = parser;
        return current != null
                && current.hasUnadmittedInput()
                && System.nanoTime() - current.lastReadAt() < RECENT_INPUT_NS;
    }
}
