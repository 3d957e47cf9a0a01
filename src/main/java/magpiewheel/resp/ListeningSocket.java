package magpiewheel.resp;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.SocketTimeoutException;
import java.net.StandardSocketOptions;
import java.nio.channels.Channel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;

/** The socket on which clients are accepted: one that this process opened, or one inherited from the parent process. */
public abstract class ListeningSocket {
    private static final int BACKLOG = 512;

    ListeningSocket() {}

    /** Returns the local address. */
    public abstract InetSocketAddress address();

    /** Accepts the next client; throws {@link SocketTimeoutException} if none connects within the time given (ms). */
    abstract SocketChannel accept(int waitMs) throws IOException;

    /** Stops accepting clients. */
    abstract void close() throws IOException;

    /**
     * Whether other processes accept clients on the same socket when this one stops; then the drain need not wait for
     * late clients.
     */
    public abstract boolean isShared();

    /** Opens a listening socket on the address. */
    public static ListeningSocket bind(InetSocketAddress listen) throws IOException {
        ServerSocketChannel listener = ServerSocketChannel.open();
        try {
            listener.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            listener.bind(listen, BACKLOG);
        } catch (IOException | RuntimeException e) {
            listener.close();
            throw e;
        }
        // In blocking mode, without a selector: that would take two more descriptors.
        ServerSocket socket = listener.socket();
        return new ListeningSocket() {
            @Override
            public InetSocketAddress address() {
                return (InetSocketAddress) socket.getLocalSocketAddress();
            }

            @Override
            SocketChannel accept(int waitMs) throws IOException {
                socket.setSoTimeout(waitMs);
                return socket.accept().getChannel();
            }

            @Override
            void close() throws IOException {
                listener.close();
            }

            @Override
            public boolean isShared() {
                return false;
            }
        };
    }

    /** Returns the listening socket inherited as descriptor 0, or null if descriptor 0 is not one. */
    public static ListeningSocket inherited() throws IOException {
        Channel channel = System.inheritedChannel();
        if (!(channel instanceof ServerSocketChannel listener)) {
            return null;
        }
        // The blocking mode is shared with every process that holds the socket. A process that relied on blocking mode,
        // or on an earlier readiness check, could hang in accept when another process took the connection first. So the
        // socket is always non-blocking, and a selector waits for connections.
        listener.configureBlocking(false);
        Selector selector = Selector.open();
        listener.register(selector, SelectionKey.OP_ACCEPT);
        return new ListeningSocket() {
            @Override
            public InetSocketAddress address() {
                return (InetSocketAddress) listener.socket().getLocalSocketAddress();
            }

            @Override
            SocketChannel accept(int waitMs) throws IOException {
                selector.select(waitMs);
                selector.selectedKeys().clear();
                SocketChannel client = listener.accept();
                if (client == null) {
                    throw new SocketTimeoutException("no connection to accept, or another process accepted it");
                }
                return client;
            }

            @Override
            void close() {
                // Left open: other processes use it, and closing it would make the virtual machine close the log.
            }

            @Override
            public boolean isShared() {
                return true;
            }
        };
    }
}
