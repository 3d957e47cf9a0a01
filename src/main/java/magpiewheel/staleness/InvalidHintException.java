package magpiewheel.staleness;

/** A read hint that cannot be parsed; the message is one sentence that is sent to the client. */
public final class InvalidHintException extends Exception {
    private static final long serialVersionUID = 1;

    InvalidHintException(String message) {
        super(message);
    }
}
