package magpiewheel.resp;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import magpiewheel.engine.BufferPool;

/**
 * Reads one connection, on the poller's thread. Delivers frames until the client or this side ends the connection, then
 * reads and discards the remaining input. Holds no buffer between frames.
 */
final class ClientReader {
    /** What became of a frame. */
    enum Delivery {
        /** The frame was accepted. */
        ACCEPTED,
        /** There is no room for the frame; it is to be delivered again after {@link ClientReader#resume}. */
        POSTPONED,
        /** The connection has been ended: no more frames are accepted. */
        ENDED
    }

    /** Receives the frames that were read. */
    interface FrameHandler {
        /** Handles a frame. */
        Delivery onFrame(RespParser.Frame frame);

        /** Handles input that is not a valid frame. */
        void onMalformed();

        /** Handles the end of the stream. */
        void onEnd();

        /** Handles that no frames are read until {@link ClientReader#resume}. */
        void onPaused();
    }

    /**
     * ns; a partial request that received bytes within this time counts as work: a client that writes in small pieces
     * is still served.
     */
    static final long RECENT_INPUT_NS = TimeUnit.MILLISECONDS.toNanos(300);

    /** Upper bound for the bytes discarded after the end: closing with unread bytes would reset the connection. */
    private static final int MAX_DISCARDED_BYTES = 256 * 1024;
    /** Reads of one connection before others have their turn. */
    private static final int READS_PER_TURN = 4;

    private final ClientTransport transport;
    private final RespParser parser;
    private final FrameHandler handler;
    private RespParser.Frame postponed;
    private ByteBuffer unparsed;
    private int discarded;
    private boolean discarding;
    private boolean ended;
    private int bytesBehindFrame;

    private volatile boolean paused;
    private volatile boolean anyReceived;
    private volatile boolean hasUnadmittedInput;
    private volatile boolean inBody;
    private volatile int heldBuffers;
    private volatile long frameStartedAt;
    private volatile long lastReadAt = System.nanoTime();

    ClientReader(ClientTransport transport, BufferPool bodyPool, FrameHandler handler) {
        this.transport = transport;
        this.parser = new RespParser(bodyPool);
        this.handler = handler;
    }

    // ---------------------------------------------------------------- poller thread

    /** Reads what there is, as far as it is accepted; {@code buffer} is empty and belongs to the caller. */
    void read(ByteBuffer buffer) {
        try {
            for (int i = 0; i < READS_PER_TURN && !paused && !ended; i++) {
                int count = transport.read(buffer.clear());
                if (count <= 0) {
                    endIf(count < 0);
                    return;
                }
                anyReceived = true;
                hasUnadmittedInput = true;
                lastReadAt = System.nanoTime();
                consume(buffer.flip());
            }
        } catch (IOException e) {
            // Reset or closed.
            endIf(true);
        }
    }

    private void endIf(boolean end) {
        if (end && !ended) {
            ended = true;
            handler.onEnd();
        }
    }

    private void consume(ByteBuffer input) {
        try {
            while (input.hasRemaining() && !discarding && !paused) {
                RespParser.Frame frame = parser.parse(input);
                trackFrame();
                if (frame != null) {
                    bytesBehindFrame = input.remaining();
                    deliver(frame);
                }
            }
        } catch (RespParser.MalformedFrameException e) {
            startDiscarding();
            handler.onMalformed();
        }
        if (discarding) {
            discarded += input.remaining();
            endIf(discarded >= MAX_DISCARDED_BYTES);
        } else if (paused && input.hasRemaining()) {
            unparsed = ByteBuffer.allocate(input.remaining()).put(input).flip();
        }
    }

    private void trackFrame() {
        if (!parser.inFrame()) {
            frameStartedAt = 0;
        } else if (frameStartedAt == 0) {
            frameStartedAt = System.nanoTime() | 1;
        }
        inBody = parser.inBody();
        heldBuffers = parser.heldBuffers();
    }

    private void deliver(RespParser.Frame frame) {
        switch (handler.onFrame(frame)) {
            case ACCEPTED -> postponed = null;
            case POSTPONED -> {
                postponed = frame;
                paused = true;
                transport.readable(false);
                handler.onPaused();
            }
            default -> {
                postponed = null;
                startDiscarding();
            }
        }
    }

    private void startDiscarding() {
        discarding = true;
        release();
        trackFrame();
    }

    /** Delivers the postponed frame again and goes on reading if it is accepted. */
    void resume(ByteBuffer buffer) {
        if (!paused || ended) {
            return;
        }
        paused = false;
        ByteBuffer rest = unparsed == null ? ByteBuffer.allocate(0) : unparsed;
        unparsed = null;
        bytesBehindFrame = rest.remaining();
        deliver(postponed);
        if (paused) {
            unparsed = rest;
            return;
        }
        consume(rest);
        if (!paused) {
            transport.readable(true);
            read(buffer);
        }
    }

    /** Reads and discards what has already arrived; afterwards the connection may be closed without a reset. */
    void discardReceived(ByteBuffer buffer) {
        discarding = true;
        paused = false;
        read(buffer);
    }

    /** Reads no more, and releases what a partial or a postponed frame holds. */
    void end() {
        ended = true;
        release();
    }

    private void release() {
        parser.abort();
        if (postponed != null && postponed.body() != null) {
            postponed.body().release();
        }
        postponed = null;
        unparsed = null;
        heldBuffers = 0;
    }

    /** Called by the handler once admission control counts the frame that it was given. */
    void frameAdmitted() {
        hasUnadmittedInput = bytesBehindFrame > 0;
    }

    // ---------------------------------------------------------------- called by other threads

    /** Whether a frame waits for {@link #resume}. */
    boolean paused() {
        return paused;
    }

    /** Whether bytes were received after the given time (ns). */
    boolean receivedSince(long since) {
        return anyReceived && lastReadAt - since > 0;
    }

    /** ns; when the first byte of the frame being read arrived; 0 between frames. */
    long frameStartedAt() {
        return frameStartedAt;
    }

    /** Whether a request body is being read. */
    boolean inBody() {
        return inBody;
    }

    /** Returns the number of buffers that the body being read holds. */
    int heldBuffers() {
        return heldBuffers;
    }

    /** Whether a frame is being read and received bytes recently. */
    boolean frameGrowing(long now) {
        return frameStartedAt != 0 && now - lastReadAt < RECENT_INPUT_NS;
    }

    /**
     * Whether it has recently read bytes of a request that admission control does not count yet: a partial request or
     * one behind the last frame delivered.
     */
    boolean hasUnadmittedInput() {
        return hasUnadmittedInput && System.nanoTime() - lastReadAt < RECENT_INPUT_NS;
    }
}
