package magpiewheel.ipfix;

/** Bytes that are no message of the protocol: what is wrong, and at which offset of the message. */
public final class DecodeException extends Exception {
    private static final long serialVersionUID = 1L;
    private final int offset;

    DecodeException(int offset, String what) {
        super("offset " + offset + ": " + what);
        this.offset = offset;
    }

    /** Where in the message. */
    public int offset() {
        return offset;
    }
}
