package magpiewheel.resp;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicLong;
import magpiewheel.engine.Ipv4;
import magpiewheel.engine.PendingRequest;

/**
 * The socket of one client, and how it ends: first this side alone (the half-close), then, once the client has closed
 * or has had its time, all of it. A close over unread bytes would reset the connection, and answers that are on their
 * way would go with it.
 */
final class ClientSocket {
    private final Socket socket;
    private final AtomicLong halfClosedAt = new AtomicLong();

    ClientSocket(Socket socket) {
        this.socket = socket;
    }

    /** Sends small writes at once: those that the system held back would be lost with a reset. */
    void disableSendDelay() throws IOException {
        socket.setTcpNoDelay(true);
    }

    InputStream in() throws IOException {
        return socket.getInputStream();
    }

    OutputStream out() throws IOException {
        return socket.getOutputStream();
    }

    /** The addresses at both ends; null where they are not known any more. */
    PendingRequest.ConnectionAddresses ends() {
        InetSocketAddress local = (InetSocketAddress) socket.getLocalSocketAddress();
        InetSocketAddress remote = (InetSocketAddress) socket.getRemoteSocketAddress();
        return local == null || remote == null
                ? null
                : new PendingRequest.ConnectionAddresses(
                        Ipv4.toInt(local), local.getPort(), Ipv4.toInt(remote), remote.getPort());
    }

    /** Whether bytes have come that nobody has read: on a busy machine a reader may be late for its turn. */
    boolean hasUnread() {
        try {
            return socket.getInputStream().available() > 0;
        } catch (IOException e) {
            return false;
        }
    }

    /** Whether this side was ended. */
    boolean halfClosed() {
        return halfClosedAt.get() != 0;
    }

    /** ns; when this side was ended; 0 while the client is served. */
    long halfClosedAt() {
        return halfClosedAt.get();
    }

    /** Ends this side, for good and once. The client reads all that was written to it and then the end. */
    void halfClose() {
        if (!halfClosedAt.compareAndSet(0, System.nanoTime() | 1)) {
            return;
        }
        try {
            socket.shutdownOutput();
        } catch (IOException e) {
            close();
        }
    }

    /** The reader sees the end and closes: that costs much less than a close under a thread that reads. */
    void shutdownInput() {
        try {
            socket.shutdownInput();
        } catch (IOException e) {
            close();
        }
    }

    void close() {
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed all the same.
        }
    }
}
