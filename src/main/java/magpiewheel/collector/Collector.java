package magpiewheel.collector;

import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.ByteBuffer;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiConsumer;
import magpiewheel.engine.Actor;
import magpiewheel.ipfix.DecodeException;
import magpiewheel.ipfix.MessageReader;

/**
 * Listens for IPFIX over UDP and TCP at one address. Nothing that comes is trusted: what can't be read is named with
 * its offset and dropped, over TCP with its connection. It remembers so many sessions over UDP, the longest unused goes
 * first.
 */
public final class Collector implements AutoCloseable {
    private static final int LARGEST = 65_535;
    private static final int HEAD = 4;
    private static final int MOST_SESSIONS = 256;
    private static final int THREAD_END_TIMEOUT_MS = 1_000;

    private final long enterprise;
    private final BiConsumer<String, MessageReader.Message> taken;
    private final BiConsumer<String, String> refused;
    private final DatagramSocket datagrams;
    private final ServerSocket streams;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private final Thread datagramReader = Actor.daemonThread("collect-udp", this::receive);
    private final Thread acceptor = Actor.daemonThread("collect-tcp", this::accept);

    /** Listens at an address; messages, and what could not be read, are handed on with the exporter's address. */
    public Collector(
            InetSocketAddress at,
            long enterprise,
            BiConsumer<String, MessageReader.Message> taken,
            BiConsumer<String, String> refused)
            throws IOException {
        this(at, enterprise, taken, refused, new ServerSocket());
    }

    /** Likewise, with a listener for TCP that is not bound yet. */
    Collector(
            InetSocketAddress at,
            long enterprise,
            BiConsumer<String, MessageReader.Message> taken,
            BiConsumer<String, String> refused,
            ServerSocket unbound)
            throws IOException {
        this.enterprise = enterprise;
        this.taken = taken;
        this.refused = refused;
        streams = unbound;
        streams.bind(at);
        try {
            datagrams = new DatagramSocket(new InetSocketAddress(at.getAddress(), streams.getLocalPort()));
            datagrams.setReceiveBufferSize(1 << 22);
        } catch (IOException e) {
            streams.close();
            throw e;
        }
        datagramReader.start();
        acceptor.start();
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return (InetSocketAddress) streams.getLocalSocketAddress();
    }

    private void receive() {
        Map<String, MessageReader> sessions = new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<String, MessageReader> eldest) {
                return size() > MOST_SESSIONS;
            }
        };
        byte[] buffer = new byte[LARGEST];
        while (!datagrams.isClosed()) {
            DatagramPacket packet = new DatagramPacket(buffer, LARGEST);
            try {
                datagrams.receive(packet);
            } catch (SocketException e) {
                break;
            } catch (IOException e) {
                continue;
            }
            String from = packet.getSocketAddress().toString();
            try {
                taken.accept(
                        from,
                        sessions.computeIfAbsent(from, key -> new MessageReader(enterprise, false))
                                .read(ByteBuffer.wrap(buffer, 0, packet.getLength())));
            } catch (DecodeException e) {
                refused.accept(from, e.getMessage());
            }
        }
    }

    private void accept() {
        while (!streams.isClosed()) {
            try {
                Socket socket = streams.accept();
                if (open.size() >= MOST_SESSIONS) {
                    socket.close();
                    continue;
                }
                open.add(socket);
                if (streams.isClosed()) {
                    // Let in while close() went through those that were open: nobody else would close it.
                    socket.close();
                }
                Actor.daemonThread("collect-stream", () -> read(socket)).start();
            } catch (IOException e) {
                // Closed, or one that went before it was taken.
            }
        }
    }

    private void read(Socket socket) {
        String from = socket.getRemoteSocketAddress().toString();
        MessageReader reader = new MessageReader(enterprise, true);
        byte[] buffer = new byte[LARGEST];
        try (socket) {
            DataInputStream in = new DataInputStream(socket.getInputStream());
            while (true) {
                in.readFully(buffer, 0, HEAD);
                int length = MessageReader.length(ByteBuffer.wrap(buffer, 0, HEAD));
                if (length < 0) {
                    refused.accept(from, "offset 0: no message begins here; the connection is closed");
                    return;
                }
                in.readFully(buffer, HEAD, length - HEAD);
                taken.accept(from, reader.read(ByteBuffer.wrap(buffer, 0, length)));
            }
        } catch (DecodeException e) {
            refused.accept(from, e.getMessage() + "; the connection is closed");
        } catch (EOFException e) {
            // The exporter has ended it.
        } catch (IOException e) {
            if (!streams.isClosed()) {
                refused.accept(from, e.getMessage());
            }
        } finally {
            open.remove(socket);
        }
    }

    /**
     * Closes all sockets, and waits until the address is free: a thread that is blocked in a call on a closed socket
     * keeps its port until the call returns.
     */
    @Override
    public void close() throws IOException {
        datagrams.close();
        streams.close();
        for (Socket socket : open) {
            socket.close();
        }
        try {
            datagramReader.join(THREAD_END_TIMEOUT_MS);
            acceptor.join(THREAD_END_TIMEOUT_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
