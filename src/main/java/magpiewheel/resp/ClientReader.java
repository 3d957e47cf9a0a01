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
 * Reads one connection on its own thread. Delivers frames until the client or this side ends the connection, then reads
 * and discards the remaining input. Holds no buffer before the first byte arrives.
 */
final class ClientReader {
    /** Receives the frames that were read. */
    interface FrameHandler {
        /**
         * Handles a frame. Returns false if the connection has already been ended, in which case no more frames are
         * accepted.
         */
        boolean onFrame(RespParser.Frame frame);

        /** Handles input that is not a valid frame. */
        void onMalformed();

        /** Handles the lack of a free read buffer. */
        void onNoBuffer();
    }

    /**
     * ns; a partial request that received bytes within this time counts as work: a client that writes in small pieces
     * is still served.
     */
    private static final long RECENT_INPUT_NS = TimeUnit.MILLISECONDS.toNanos(300);

    /** ms; a client has no longer for its first request. */
    private static final long BUFFER_WAIT_MS = TimeUnit.NANOSECONDS.toMillis(ConnectionActivity.REQUEST_TIMEOUT_NS);

    private final ClientSocket socket;
    private final BufferPool pool;
    private final Counters counters;
    private volatile RespParser parser;

    ClientReader(ClientSocket socket, BufferPool pool, Counters counters) {
        this.socket = socket;
        this.pool = pool;
        this.counters = counters;
    }

    /** Reads until the connection is closed; the caller then closes the socket. */
    void run(FrameHandler handler) {
        Body buffer = null;
        try {
            InputStream in = socket.in();
            int first = in.read();
            if (first < 0) {
                return;
            }
            // A request whose first byte was read is owed an answer, so its reader waits for a buffer.
            buffer = pool.acquire(BufferPool.BUFFER_BYTES, BUFFER_WAIT_MS);
            if (buffer == null) {
                handler.onNoBuffer();
            } else {
                parser = new RespParser(in, buffer.firstBuffer(), first, pool);
                deliverFrames(parser, handler);
            }
            LingeringClose.drain(in);
        } catch (IOException e) {
            // The connection was reset or closed.
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

    /** Called on the reader thread once the last frame has been counted by admission control. */
    void frameAdmitted() {
        parser.frameAdmitted();
    }

    // ---------------------------------------------------------------- called by other threads

    /** Whether bytes were received after the given time (ns). */
    boolean receivedSince(long since) {
        RespParser current = parser;
        return current != null && current.lastReadAt() - since > 0;
    }

    /** ns; when the first byte of the frame being read arrived; 0 between frames. */
    long frameStartedAt() {
        RespParser current = parser;
        return current == null ? 0 : current.frameStartedAt();
    }

    /** Whether a request body is being read. */
    boolean inBody() {
        RespParser current = parser;
        return current != null && current.inBody();
    }

    /** Whether a frame is being read and received bytes recently. */
    boolean frameGrowing(long now) {
        RespParser current = parser;
        return current != null && current.frameStartedAt() != 0 && now - current.lastReadAt() < RECENT_INPUT_NS;
    }

    /**
     * Whether it has recently read bytes of a request that admission control does not count yet: a partial request or
     * one behind the last frame delivered.
     */
    boolean hasUnadmittedInput() {
        RespParser current = parser;
        return current != null
                && current.hasUnadmittedInput()
                && System.nanoTime() - current.lastReadAt() < RECENT_INPUT_NS;
    }
}
