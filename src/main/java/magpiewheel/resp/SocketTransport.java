package magpiewheel.resp;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.CancelledKeyException;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;

/** A client's TCP connection. */
final class SocketTransport implements ClientTransport {
    /** The system takes twice as much; with more, a client that does not read would be noticed only after megabytes. */
    private static final int SEND_BUFFER_BYTES = 64 * 1024;
    /** The most that the system holds of what a client has not taken yet. */
    static final int SYSTEM_BUFFER_BYTES = 2 * SEND_BUFFER_BYTES;

    private final SocketChannel channel;
    private final InetSocketAddress local;
    private final InetSocketAddress remote;
    private volatile ClientPoller poller;
    private volatile SelectionKey key;

    SocketTransport(SocketChannel channel) throws IOException {
        this.channel = channel;
        local = (InetSocketAddress) channel.getLocalAddress();
        remote = (InetSocketAddress) channel.getRemoteAddress();
    }

    @Override
    public void open(ClientPoller registry, ReadinessHandler handler) throws IOException {
        channel.configureBlocking(false);
        // Small writes that the system delays would be lost on a reset.
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        channel.setOption(StandardSocketOptions.SO_SNDBUF, SEND_BUFFER_BYTES);
        poller = registry;
        key = registry.register(channel, handler);
    }

    @Override
    public int read(ByteBuffer target) throws IOException {
        return channel.read(target);
    }

    @Override
    public int write(ByteBuffer source) throws IOException {
        return channel.write(source);
    }

    @Override
    public void readable(boolean report) {
        changeInterest(SelectionKey.OP_READ, report);
    }

    @Override
    public void awaitWritable() {
        changeInterest(SelectionKey.OP_WRITE, true);
    }

    private void changeInterest(int operation, boolean on) {
        SelectionKey registered = key;
        if (registered == null) {
            return;
        }
        try {
            if (on) {
                registered.interestOpsOr(operation);
            } else {
                registered.interestOpsAnd(~operation);
            }
            poller.wakeUp();
        } catch (CancelledKeyException e) {
            // The connection is closed: nothing more is reported.
        }
    }

    @Override
    public boolean hasUnread() {
        try {
            return channel.socket().getInputStream().available() > 0;
        } catch (IOException e) {
            return false;
        }
    }

    @Override
    public void shutdownOutput() throws IOException {
        channel.shutdownOutput();
    }

    @Override
    public void close() {
        try {
            channel.close();
        } catch (IOException e) {
            // Nothing more can be done: the connection counts as closed.
        }
        ClientPoller registry = poller;
        if (registry != null) {
            // The descriptor of a registered channel is released by the poller's thread.
            registry.wakeUp();
        }
    }

    @Override
    public InetSocketAddress localAddress() {
        return local;
    }

    @Override
    public InetSocketAddress remoteAddress() {
        return remote;
    }
}
