package magpiewheel.resp;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import magpiewheel.engine.Ipv4;
import magpiewheel.engine.PendingRequest;

/**
 * The socket of one client and its two-step close: first a half-close of this side, then a full close once the client
 * has closed or its time has run out. Closing a socket with unread bytes would reset the connection and lose the
 * responses in transit.
 */
final class ClientSocket {
    private final Socket socket;
    private final AtomicLong halfClosedAt = new AtomicLong();

    private final AtomicReference<CloseReason> closeReason = new AtomicReference<>();
    private final String remoteName;

    ClientSocket(Socket socket) {
        this.socket = socket;
        this.remoteName = socket.getRemoteSocketAddress() instanceof InetSocketAddress remote
                ? remote.getHostString() + ":" + remote.getPort()
                : "none";
    }

    /** Returns the client's address and port for the log. Thread-safe. */
    String remoteName() {
        return remoteName;
    }

    /** Records why the connection is about to end; the first reason stays. Thread-safe. */
    void closesFor(CloseReason reason) {
        closeReason.compareAndSet(null, reason);
    }

    /** Returns why the connection ended, or null while it has not. Thread-safe. */
    CloseReason closeReason() {
        return closeReason.get();
    }

    /** Disables Nagle's algorithm: small writes that the system delays would be lost on a reset. */
    void disableSendDelay() throws IOException {
        socket.setTcpNoDelay(true);
    }

    InputStream in() throws IOException {
        return socket.getInputStream();
    }

    OutputStream out() throws IOException {
        return socket.getOutputStream();
    }

    /** Returns the addresses of both ends, or null if they are no longer known. */
    PendingRequest.ConnectionAddresses addresses() {
        InetSocketAddress local = (InetSocketAddress) socket.getLocalSocketAddress();
        InetSocketAddress remote = (InetSocketAddress) socket.getRemoteSocketAddress();
        return local == null || remote == null
                ? null
                : new PendingRequest.ConnectionAddresses(
                        Ipv4.toInt(local), local.getPort(), Ipv4.toInt(remote), remote.getPort());
    }

    /** Whether received bytes are still unread: on a busy machine the reader thread may be scheduled late. */
    boolean hasUnread() {
        try {
            return socket.getInputStream().available() > 0;
        } catch (IOException e) {
            return false;
        }
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
     * then the end of the stream.
     */
    void halfClose(CloseReason reason) {
        closesFor(reason);
        if (!halfClosedAt.compareAndSet(0, System.nanoTime() | 1)) {
            return;
        }
        try {
            socket.shutdownOutput();
        } catch (IOException e) {
            close(CloseReason.CLIENT);
        }
    }

    /**
     * Makes the reader thread see the end of the stream and close the socket: much cheaper than closing it while a
     * thread is blocked in a read.
     */
    void shutdownInput() {
        try {
            socket.shutdownInput();
        } catch (IOException e) {
            close(CloseReason.CLIENT);
        }
    }

    void close(CloseReason reason) {
        closesFor(reason);
        try {
            socket.close();
        } catch (IOException e) {
            // Nothing more can be done: the socket is closed.
        }
    }
}
