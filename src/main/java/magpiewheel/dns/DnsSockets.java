package magpiewheel.dns;

import java.io.Closeable;
import java.io.IOException;
import java.net.BindException;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.StandardSocketOptions;
import java.util.Set;

/**
 * The UDP socket and the TCP listener at the address for resolvers.
 *
 * <p>Two processes of one router, during an upgrade, may both bind to a shared address. Of two such UDP sockets the
 * system gives all datagrams to the one that was bound last (socket(7), SO_REUSEADDR), and to the other again once that
 * is closed. New connections are divided between two listeners (SO_REUSEPORT).
 */
final class DnsSockets implements Closeable {
    private static final int BACKLOG = 64;
    /** For a port that the system chooses: it has to be free for both protocols. */
    private static final int MAX_BIND_ATTEMPTS = 20;

    private final DatagramSocket udp;
    private final ServerSocket tcp;

    private DnsSockets(DatagramSocket udp, ServerSocket tcp) {
        this.udp = udp;
        this.tcp = tcp;
    }

    /**
     * Binds both sockets.
     *
     * @param listen the address for both; with port 0, the system chooses a port that is free for both
     * @param shared whether another process of this router may be bound to the address, or bind to it later
     * @throws BindException if another program is bound to the address
     */
    static DnsSockets bind(InetSocketAddress listen, boolean shared) throws IOException {
        if (shared) {
            requireAvailable(listen);
        }
        for (int attemptsLeft = listen.getPort() == 0 ? MAX_BIND_ATTEMPTS : 1; ; attemptsLeft--) {
            ServerSocket tcp = bindTcp(listen, shared);
            try {
                InetSocketAddress same = new InetSocketAddress(listen.getAddress(), tcp.getLocalPort());
                return new DnsSockets(bindUdp(same, shared), tcp);
            } catch (IOException e) {
                // The system chose a TCP port whose UDP counterpart is in use; retry with another.
                tcp.close();
                if (attemptsLeft <= 1) {
                    throw e;
                }
            }
        }
    }

    /** Binds a listener alone to a shared address. */
    static ServerSocket bindTcp(InetSocketAddress listen, boolean shared) throws IOException {
        ServerSocket tcp = new ServerSocket();
        try {
            tcp.setReuseAddress(true);
            if (shared) {
                tcp.setOption(StandardSocketOptions.SO_REUSEPORT, true);
            }
            tcp.bind(listen, BACKLOG);
            return tcp;
        } catch (IOException e) {
            tcp.close();
            throw e;
        }
    }

    private static DatagramSocket bindUdp(InetSocketAddress listen, boolean shared) throws IOException {
        DatagramSocket udp = new DatagramSocket(null);
        try {
            udp.setReuseAddress(shared);
            udp.bind(listen);
            return udp;
        } catch (IOException e) {
            udp.close();
            throw e;
        }
    }

    /**
     * Throws {@link BindException} if a program other than the processes of this router is bound to the address: the
     * socket options alone would let any two programs share it that set them.
     */
    static void requireAvailable(InetSocketAddress listen) throws IOException {
        if (listen.getPort() == 0) {
            return;
        }
        Set<Long> others = SocketTable.boundTo(listen);
        if (!others.isEmpty()) {
            others.removeAll(SocketTable.heldByThisRouter());
        }
        if (!others.isEmpty()) {
            throw new BindException("Address already in use");
        }
        requireShareable(listen);
    }

    /** Throws {@link BindException} if a process of this router holds the address without sharing it. */
    private static void requireShareable(InetSocketAddress listen) throws IOException {
        try (Socket neverListens = new Socket()) {
            neverListens.setReuseAddress(true);
            neverListens.setOption(StandardSocketOptions.SO_REUSEPORT, true);
            neverListens.bind(listen);
        }
    }

    DatagramSocket udp() {
        return udp;
    }

    ServerSocket tcp() {
        return tcp;
    }

    @Override
    public void close() throws IOException {
        udp.close();
        tcp.close();
    }
}
