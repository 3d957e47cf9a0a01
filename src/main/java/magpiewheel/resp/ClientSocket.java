package magpiewheel.resp;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import magpiewheel.engine.Ipv4;
import magpiewheel.engine.PendingRequest;

/**
 * The ends of one client's connection, in two steps: first a half-close of this side, then a full close once the client
 * has closed or its time has run out. Closing a connection with unread bytes would reset it and lose the responses in
 * transit. Thread-safe.
 */
final class ClientSocket {
    private final ClientTransport transport;
    private final AtomicLong halfClosedAt = new AtomicLong();
    private final AtomicReference<CloseReason> closeReason = new AtomicReference<>();
    private final String remoteName;

    ClientSocket(ClientTransport transport) {
        this.transport = transport;
        InetSocketAddress remote = transport.remoteAddress();
        this.remoteName = remote == null ? "none" : remote.getHostString() + ":" + remote.getPort();
    }

    /** Returns the client's address and port for the log. */
    String remoteName() {
        return remoteName;
    }

    /** Records why the connection is about to end; the first reason stays. */
    void closesFor(CloseReason reason) {
        closeReason.compareAndSet(null, reason);
    }

    /** Returns why the connection ended, or null while it has not. */
    CloseReason closeReason() {
        return closeReason.get();
    }

    /** Returns the addresses of both ends, or null if they are not known. */
    PendingRequest.ConnectionAddresses addresses() {
        InetSocketAddress local = transport.localAddress();
        InetSocketAddress remote = transport.remoteAddress();
        return local == null || remote == null
                ? null
                : new PendingRequest.ConnectionAddresses(
                        Ipv4.toInt(local), local.getPort(), Ipv4.toInt(remote), remote.getPort());
    }

    /** Whether received bytes are still unread. */
    boolean hasUnread() {
        return transport.hasUnread();
    }

    /** Whether this side has been half-closed. */
    boolean halfClosed() {
        return halfClosedAt.get() != 0;
    }

    /** ns; when this side was half-closed; 0 while the client is served. */
    long halfClosedAt() {
        return halfClosedAt.get();
    }

    /**
     * Half-closes the connection; later calls have no effect. The client reads everything that was written to it and
     * then the end of the stream. Returns false if the connection has already ended.
     */
    boolean halfClose(CloseReason reason) {
        closesFor(reason);
        if (!halfClosedAt.compareAndSet(0, System.nanoTime() | 1)) {
            return true;
        }
        try {
            transport.shutdownOutput();
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /** Closes the connection. */
    void close(CloseReason reason) {
        closesFor(reason);
        transport.close();
    }
}
