package magpiewheel.config;

import java.io.IOException;

/** A value that can't be used; the message is one plain line that names its key. */
public final class ConfigException extends IOException {
    private static final long serialVersionUID = 1L;

    /** The key and what was expected there. */
    public ConfigException(String key, String wanted) {
        super(key + ": expected " + wanted);
    }

    ConfigException(String line) {
        super(line);
    }
}
