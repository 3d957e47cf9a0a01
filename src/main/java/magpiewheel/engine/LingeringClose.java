package magpiewheel.engine;

import java.io.IOException;
import java.io.InputStream;

/**
 * Discards what a peer still sends after this side has finished: closing a socket with unread bytes would reset the
 * connection.
 */
public final class LingeringClose {
    /** Upper bound for the bytes discarded from one connection. */
    private static final int MAX_DISCARDED_BYTES = 256 * 1024;

    private static final int DISCARD_BUFFER_BYTES = 1_024;

    private LingeringClose() {}

    /** Reads and discards input until the peer closes its side, which it may have done already, or until the bound. */
    public static void drain(InputStream in) throws IOException {
        byte[] buffer = new byte[DISCARD_BUFFER_BYTES];
        int length = in.read(buffer);
        for (int discarded = length; length >= 0 && discarded < MAX_DISCARDED_BYTES; discarded += length) {
            length = in.read(buffer);
        }
    }
}
