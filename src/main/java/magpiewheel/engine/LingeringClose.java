package magpiewheel.engine;

import java.io.IOException;
import java.io.InputStream;

/** What a peer still sends behind the end of this side: closed over unread bytes, a connection would be reset. */
public final class LingeringClose {
    /** The most bytes that are read and dropped. */
    private static final int MAX_DISCARDED_BYTES = 256 * 1024;

    private static final int DISCARD_BUFFER_BYTES = 1_024;

    private LingeringClose() {}

    /** Reads and drops until the peer's end, at which it is already where the peer ended first, or the bound. */
    public static void drain(InputStream in) throws IOException {
        byte[] buffer = new byte[DISCARD_BUFFER_BYTES];
        int length = in.read(buffer);
        for (int discarded = length; length >= 0 && discarded < MAX_DISCARDED_BYTES; discarded += length) {
            length = in.read(buffer);
        }
    }
}
