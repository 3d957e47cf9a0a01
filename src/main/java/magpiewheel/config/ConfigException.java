package magpiewheel.config;

import java.io.IOException;

/** A value that can't be used; the message is one plain line that names its key. */
public final class ConfigException extends IOException {
    private static final long serialVersionUID = 1L;

    private final boolean transientFault;

    /** The key and what was expected there. */
    public ConfigException(String key, String expected) {
        this(key + ": expected " + expected, false);
    }

    ConfigException(String message) {
        this(message, false);
    }

    private ConfigException(String message, boolean transientFault) {
        super(message);
        this.transientFault = transientFault;
    }

    /** A file that could not be read, whatever it holds. */
    static ConfigException unreadable(String key, String file) {
        return new ConfigException(key + ": expected a file that can be read, got " + file, true);
    }

    /** Whether the same file may be usable a moment later. */
    boolean isTransient() {
        return transientFault;
    }
}
