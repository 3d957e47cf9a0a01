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
    interface Frames {
        /** A frame; false where the connection was ended first, and nothing is taken any more. */
        boolean taken(RespParser.Frame frame);

        /** What came is no frame. */
        void malformed();

        /** There is no room to read in. */
        void noRoom();
    }

    /** ns; half a request that grew so lately is work: written in pieces, it is served in the end. */
    private static final long GROWS_NS = TimeUnit.MILLISECONDS.toNanos(300);

    private final ClientSocket socket;
    private final BufferPool pool;
    private final Counters counters;
    private volatile RespParser reader;

    ClientReader(ClientSocket socket, BufferPool pool, Counters counters) {
        this.socket = socket;
        this.pool = pool;
        this.counters = counters;
    }

    /** Reads until the connection is over; the caller closes it then. */
    void run(Frames to) {
        Body buffer = null;
        try {
            InputStream in = socket.in();
            int first = in.read();
            if (first < 0) {
                return;
            }
            buffer = pool.acquire(BufferPool.BUFFER_BYTES, 0);
            if (buffer == null) {
                to.noRoom();
            } else {
                reader = new RespParser(in, buffer.firstBuffer(), first, pool);
                handOn(reader, to);
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

    private static void handOn(RespParser from, Frames to) throws IOException {
        try {
            RespParser.Frame frame = from.next();
            while (frame != null && to.taken(frame)) {
                frame = from.next();
            }
        } catch (RespParser.Malformed e) {
            to.malformed();
        }
    }

    /** On the reader: others know of the frame that came last. */
    void handedOn() {
        reader.handedOn();
    }

    // ---------------------------------------------------------------- for other threads to look at

    /** Whether bytes came after a time. */
    boolean spokeSince(long then) {
        RespParser frames = reader;
        return frames != null && frames.grewAt() - then > 0;
    }

    /** ns; when the first byte of the frame came that is being read; 0 between frames. */
    long frameSince() {
        RespParser frames = reader;
        return frames == null ? 0 : frames.frameSince();
    }

    /** Whether a body is being read. */
    boolean inBody() {
        RespParser frames = reader;
        return frames != null && frames.inBody();
    }

    /** Whether a frame is being read, and grew lately. */
    boolean frameGrows(long now) {
        RespParser frames = reader;
        return frames != null && frames.frameSince() != 0 && now - frames.grewAt() < GROWS_NS;
    }

    /** Whether it holds part of a request, or one behind those that were handed on, and that grew lately. */
    boolean inHand() {
        RespParser frames = reader;
        return frames != null && frames.inHand() && System.nanoTime() - frames.grewAt() < GROWS_NS;
    }
}
