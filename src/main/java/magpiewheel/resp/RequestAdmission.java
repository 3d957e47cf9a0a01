package magpiewheel.resp;

/**
 * What a connection has let in and not ended: frames that wait for their turn, and requests that are open. Ending the
 * connection and letting a frame in exclude each other, so a request that is read behind the end is never sent on.
 */
final class RequestAdmission {
    private int pendingFrames;
    private int openRequests;
    private boolean closed;

    /** Lets a frame in; false where the connection has been ended. */
    synchronized boolean admitFrame() {
        if (closed) {
            return false;
        }
        pendingFrames++;
        return true;
    }

    /** A frame that was let in has been worked off. */
    synchronized void frameDone() {
        pendingFrames--;
    }

    /** How many requests are open now. */
    synchronized void setOpenRequests(int count) {
        openRequests = count;
    }

    /** Requests that were taken and not ended. */
    synchronized int openRequests() {
        return openRequests;
    }

    /** Whether an answer is owed or on its way. */
    synchronized boolean busy() {
        return pendingFrames > 0 || openRequests > 0;
    }

    /** Lets nothing in any more; what is open is still answered. */
    synchronized void close() {
        closed = true;
    }

    /** Likewise, but only where nothing is owed; false where something is, or it was ended before. */
    synchronized boolean closeIfIdle() {
        if (closed || pendingFrames > 0 || openRequests > 0) {
            return false;
        }
        closed = true;
        return true;
    }

    /** Whether it lets nothing in any more. */
    synchronized boolean closed() {
        return closed;
    }
}
