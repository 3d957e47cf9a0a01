package magpiewheel;

import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import magpiewheel.engine.EventLog;
import magpiewheel.engine.Pause;

/**
 * Opens the sockets that a router cannot start without. The system may have no descriptor or buffer for a moment
 * (ENFILE, EMFILE, ENOBUFS, ENOMEM), which must not end a new process.
 */
final class StartRetry {
    /** Opens a socket. */
    interface Opener<T> {
        /** Returns what was opened. */
        T open() throws IOException;
    }

    private static final int PAUSE_MS = 20;
    /** Shorter than the 30 s in which a router has to be ready. */
    private static final long LONGEST_NS = TimeUnit.SECONDS.toNanos(20);

    private StartRetry() {}

    /**
     * Opens until it succeeds. Throws the last error after 20 s, and at once if the address itself is the reason, such
     * as one that is in use; the message then names the setting and the address.
     */
    static <T> T open(String setting, InetSocketAddress address, Opener<T> opener) throws IOException {
        for (long startNs = System.nanoTime(); ; Pause.ms(PAUSE_MS)) {
            try {
                return opener.open();
            } catch (BindException e) {
                BindException named = new BindException(
                        setting + " " + address.getHostString() + ":" + address.getPort() + ": " + e.getMessage());
                named.initCause(e);
                throw named;
            } catch (IOException e) {
                if (System.nanoTime() - startNs > LONGEST_NS) {
                    throw e;
                }
                EventLog.log(EventLog.Event.SYSTEM_CALL_FAILED, "call=open what=" + setting + " reason=" + e);
            }
        }
    }
}
