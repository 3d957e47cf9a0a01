package magpiewheel.pressure;

/**
 * When templates go out: with the first message of a session, and over datagrams again and again, as one may be lost.
 * Only a message that was really given to the network counts.
 */
public final class TemplateClock {
    private final long everyMs;
    private boolean sent;
    private long lastMs;

    /** Repeated after so long; 0 for never, as over a stream. */
    public TemplateClock(long everyMs) {
        this.everyMs = everyMs;
    }

    /** Whether the next message is to hold them. */
    public boolean due(long nowMs) {
        return !sent || everyMs > 0 && (nowMs - lastMs >= everyMs || nowMs < lastMs);
    }

    /** They went out. */
    public void sent(long nowMs) {
        sent = true;
        lastMs = nowMs;
    }

    /** A new session, or a message that held them was lost here. */
    public void lost() {
        sent = false;
    }
}
