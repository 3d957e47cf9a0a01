package magpiewheel.dns;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Set;

/**
 * Tells whether a younger process of the same router listens at this process's address. It takes the heartbeats of
 * other routers, too, so that from then on this process no longer knows which of them run.
 */
final class SuccessorWatch {
    private final InetSocketAddress address;
    /** The listeners that were there once this process listened: its own, and those of its predecessors. */
    private final Set<Long> known;

    /** Creates a watch of an address at which this process listens already. */
    SuccessorWatch(InetSocketAddress address) throws IOException {
        this.address = address;
        this.known = SocketTable.listenersAt(address);
    }

    /** Whether a listener is there that was opened after this process's own. */
    boolean successorListens() throws IOException {
        return !known.containsAll(SocketTable.listenersAt(address));
    }
}
