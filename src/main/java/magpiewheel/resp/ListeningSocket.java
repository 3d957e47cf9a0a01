package magpiewheel.resp;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.channels.Channel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;

/** Where clients come in: a listener of the front's own, or one that the platform holds and hands on. */
public abstract class ListeningSocket {
    private static final int BACKLOG = 512;

    ListeningSocket() {}

    /** Where it is. */
    public abstract InetSocketAddress address();

    /** The next client; with none for so long, {@link SocketTimeoutException}. */
    abstract Socket accept(int waitMs) throws IOException;

    /** No more clients come in. */
    abstract void close() throws IOException;

    /** Whether clients go on coming in elsewhere when this front stops: then it need not wait for them. */
    public abstract boolean isShared();

    /** Listens on the address. */
    public static ListeningSocket bind(InetSocketAddress listen) throws IOException {
        ServerSocket listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(listen, BACKLOG);
        return new ListeningSocket() {
            @Override
            public InetSocketAddress address() {
                return (InetSocketAddress) listener.getLocalSocketAddress();
            }

            @Override
            Socket accept(int waitMs) throws IOException {
                listener.setSoTimeout(waitMs);
                return listener.accept();
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

    /** The listener that this process inherited as descriptor 0; null where that is none. */
    public static ListeningSocket inherited() throws IOException {
        Channel channel = System.inheritedChannel();
        if (!(channel instanceof ServerSocketChannel listener)) {
            return null;
        }
        // Whether it blocks is shared with every process that holds it. One that relied on blocking, or on a look
        // before,
        // could hang in an accept that another was faster in: so it never blocks, and is waited for beside.
        listener.configureBlocking(false);
        Selector selector = Selector.open();
        listener.register(selector, SelectionKey.OP_ACCEPT);
        return new ListeningSocket() {
            @Override
            public InetSocketAddress address() {
                return (InetSocketAddress) listener.socket().getLocalSocketAddress();
            }

            @Override
            Socket accept(int waitMs) throws IOException {
                selector.select(waitMs);
                selector.selectedKeys().clear();
                SocketChannel client = listener.accept();
                if (client == null) {
                    throw new SocketTimeoutException("nobody, or another process was faster");
                }
                return client.socket();
            }

            @Override
            void close() {
                // Never closed: others use it, and with it the virtual machine would close the log.
            }

            @Override
            public boolean isShared() {
                return true;
            }
        };
    }
}
