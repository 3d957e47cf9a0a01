package magpiewheel.discovery;

import java.io.IOException;

/** The discovery service sent what is no frame; the connection can't be read further. */
final class MalformedFrameException extends IOException {
    private static final long serialVersionUID = 1;

    MalformedFrameException() {
        super("malformed frame from the discovery service");
    }
}
