package magpiewheel.resp;

/**
 * Counts what a connection has admitted and not finished: frames waiting for the actor, open requests and responses
 * that are not written completely. Closing and admitting exclude each other, so a request read after the close is never
 * passed on.
 */
final class RequestAdmission {
    private int pendingFrames;
    private int openRequests;
    private int unwrittenResponses;
    private boolean closed;

    /** Admits a frame; returns false if admission is closed. */
    synchronized boolean admitFrame() {
        if (closed) {
            return false;
        }
        pendingFrames++;
        return true;
    }

    /** Records that an admitted frame has been processed. */
    synchronized void frameDone() {
        pendingFrames--;
    }

    /** Sets the number of open requests. */
    synchronized void setOpenRequests(int count) {
        openRequests = count;
    }

    /** Sets the number of responses that are not written completely. */
    synchronized void setUnwrittenResponses(int count) {
        unwrittenResponses = count;
    }

    /** Returns the number of requests admitted and not finished. */
    synchronized int openRequests() {
        return openRequests;
    }

    /** Whether a response is owed or being written. */
    synchronized boolean busy() {
        return pendingFrames > 0 || openRequests > 0 || unwrittenResponses > 0;
    }

    /** Closes admission; open requests are still answered. */
    synchronized void close() {
        closed = true;
    }

    /** Closes admission if no response is owed. Returns false if one is, or if admission was already closed. */
    synchronized boolean closeIfIdle() {
        if (closed || busy()) {
            return false;
        }
        closed = true;
        return true;
    }

    /** Whether admission is closed. */
    synchronized boolean closed() {
        return closed;
    }
}
