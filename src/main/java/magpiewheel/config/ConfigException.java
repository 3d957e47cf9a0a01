package magpiewheel.config;

import java.io.IOException;

/** An invalid configuration value; the message is a single line that names its key. */
public final class ConfigException extends IOException {
    private static final long serialVersionUID = 1L;

    private final boolean transientFault;

    /** Creates the message from the key and the value that was expected for it. */
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

    /** Returns a transient error for a file that could not be read at all, as opposed to one with invalid content. */
    static ConfigException unreadable(String key, String file) {
        return new ConfigException(key + ": expected a file that can be read, got " + file, true);
    }

    /** Whether reading the same file again shortly afterwards may succeed. */
    boolean isTransient() {
        return transientFault;
    }
}
