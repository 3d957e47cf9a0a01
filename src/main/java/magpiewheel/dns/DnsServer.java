package magpiewheel.dns;

import java.io.Closeable;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketAddress;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import magpiewheel.engine.Actor;
import magpiewheel.engine.Counter;
import magpiewheel.engine.Counters;
import magpiewheel.engine.Engine;
import magpiewheel.engine.Pause;

/**
 * Request routing by DNS, over UDP and TCP. Names and response codes are determined here; the engine supplies the
 * addresses of serving routers and of the cache selected for an object. This actor sends the UDP responses; a response
 * is dropped if the actor's mailbox is full, as it could be in the network, and the resolver retries.
 */
public final class DnsServer extends Actor {
    private static final int MAILBOX_CAPACITY = 1_024;
    private static final int BACKLOG = 64;
    private static final int MAX_BIND_ATTEMPTS = 20;
    private static final int ACCEPT_RETRY_MS = 5;
    private static final int TCP_IDLE_MS = 5_000;
    private static final long RESPONSE_TIMEOUT_MS = 1_000;
    private final DatagramSocket udp;
    private final ServerSocket tcp;
    private final List<String> dnsZone;
    private final List<String> zoneNames;
    private final Engine engine;
    private final Counters counters;
    private final Semaphore tcpPermits;
    private final Set<Socket> tcpClients = ConcurrentHashMap.newKeySet();

    /**
     * Binds the UDP and TCP sockets; queries are answered after {@link #start}.
     *
     * @param listen the address for both; with port 0, the system chooses a port that is free for both
     * @param dnsZone the DNS zone that is answered for
     * @param zoneNames names of the zones of routers, by zone number; each is a subdomain of the DNS zone
     * @param maxTcpConnections the maximum number of open TCP connections
     */
    public DnsServer(
            InetSocketAddress listen,
            String dnsZone,
            List<String> zoneNames,
            int maxTcpConnections,
            Engine engine,
            Counters counters)
            throws IOException {
        super("dns", MAILBOX_CAPACITY, counters);
        this.tcpPermits = new Semaphore(maxTcpConnections);
        this.dnsZone = List.of(dnsZone.toLowerCase(Locale.ROOT).split("\\."));
        this.zoneNames =
                zoneNames.stream().map(name -> name.toLowerCase(Locale.ROOT)).toList();
        this.engine = engine;
        this.counters = counters;
        ServerSocket tcpSocket = null;
        DatagramSocket udpSocket = null;
        for (int attemptsLeft = listen.getPort() == 0 ? MAX_BIND_ATTEMPTS : 1; udpSocket == null; attemptsLeft--) {
            tcpSocket = new ServerSocket();
            tcpSocket.setReuseAddress(true);
            tcpSocket.bind(listen, BACKLOG);
            try {
                udpSocket = new DatagramSocket(new InetSocketAddress(listen.getAddress(), tcpSocket.getLocalPort()));
            } catch (IOException e) {
                // The system chose a TCP port whose UDP counterpart is in use; retry with another.
                tcpSocket.close();
                if (attemptsLeft <= 1) {
                    throw e;
                }
            }
        }
        tcp = tcpSocket;
        udp = udpSocket;
    }

    /** Returns the address that the server listens on. */
    public InetSocketAddress address() {
        return (InetSocketAddress) tcp.getLocalSocketAddress();
    }

    @Override
    public void start() {
        super.start();
        daemonThread("dns-udp", this::readUdp).start();
        daemonThread("dns-tcp", this::accept).start();
    }

    /** Closes all sockets; resolvers get no further answer. */
    public void close() {
        udp.close();
        closeQuietly(tcp);
        tcpClients.forEach(DnsServer::closeQuietly);
    }

    private static void closeQuietly(Closeable socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // The socket is closed even if close() fails.
        }
    }

    // ---------------------------------------------------------------- UDP

    private void readUdp() {
        byte[] buffer = new byte[DnsMessage.MAX_EDNS_UDP_BYTES];
        while (!udp.isClosed()) {
            try {
                DatagramPacket packet = new DatagramPacket(buffer, buffer.length);
                udp.receive(packet);
                SocketAddress from = packet.getSocketAddress();
                resolve(buffer, packet.getLength(), false, response -> reply(response, from));
            } catch (IOException e) {
                counters.add(Counter.DNS_DROPPED, udp.isClosed() ? 0 : 1);
            }
        }
    }

    private void reply(byte[] response, SocketAddress to) {
        boolean queued = offer(() -> {
            try {
                udp.send(new DatagramPacket(response, response.length, to));
                counters.add(Counter.DNS_ANSWERS);
            } catch (IOException e) {
                counters.add(Counter.DNS_DROPPED);
            }
        });
        if (!queued) {
            counters.add(Counter.DNS_DROPPED);
        }
    }

    // ---------------------------------------------------------------- TCP

    private void accept() {
        while (!tcp.isClosed()) {
            try {
                Socket socket = tcp.accept();
                if (tcpPermits.tryAcquire()) {
                    daemonThread("dns-client", () -> serve(socket)).start();
                } else {
                    counters.add(Counter.DNS_DROPPED);
                    socket.close();
                }
            } catch (IOException e) {
                counters.add(Counter.DNS_DROPPED, tcp.isClosed() ? 0 : 1);
                // Without free file descriptors accept fails immediately each time; the pause avoids a busy loop.
                Pause.ms(ACCEPT_RETRY_MS);
            }
        }
    }

    private void serve(Socket socket) {
        tcpClients.add(socket);
        try (socket) {
            if (tcp.isClosed()) {
                return;
            }
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(TCP_IDLE_MS);
            DataInputStream in = new DataInputStream(socket.getInputStream());
            DataOutputStream out = new DataOutputStream(socket.getOutputStream());
            while (true) {
                byte[] query = new byte[in.readUnsignedShort()];
                in.readFully(query);
                CompletableFuture<byte[]> response = new CompletableFuture<>();
                if (!resolve(query, query.length, true, response::complete)) {
                    return;
                }
                byte[] bytes = response.get(RESPONSE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
                byte[] framed = Arrays.copyOf(
                        new byte[] {(byte) (bytes.length >>> Byte.SIZE), (byte) bytes.length},
                        Short.BYTES + bytes.length);
                System.arraycopy(bytes, 0, framed, Short.BYTES, bytes.length);
                out.write(framed);
                counters.add(Counter.DNS_ANSWERS);
            }
        } catch (IOException | ExecutionException | TimeoutException e) {
            // Closed, idle for too long, or the engine did not respond in time: the resolver sees the connection close.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            tcpClients.remove(socket);
            tcpPermits.release();
        }
    }

    // ---------------------------------------------------------------- names

    /** Answers a query by one callback, on any thread; returns false, without a callback, if it gets no response. */
    private boolean resolve(byte[] bytes, int length, boolean overTcp, Consumer<byte[]> reply) {
        DnsMessage.Query query = DnsMessage.parse(bytes, length, overTcp);
        if (query == null) {
            counters.add(Counter.DNS_DROPPED);
            return false;
        }
        counters.add(Counter.DNS_QUERIES);
        int relativeCount = query.labels().size() - dnsZone.size();
        if (query.error() != DnsMessage.NOERROR) {
            reply.accept(DnsMessage.rcodeResponse(query, query.error()));
        } else if (query.qclass() != DnsMessage.CLASS_IN
                || relativeCount < 0
                || !query.labels()
                        .subList(relativeCount, relativeCount + dnsZone.size())
                        .equals(dnsZone)) {
            reply.accept(DnsMessage.rcodeResponse(query, DnsMessage.REFUSED));
        } else {
            answerInZone(query, query.labels().subList(0, relativeCount), reply);
        }
        return true;
    }

    private void answerInZone(DnsMessage.Query query, List<String> relativeLabels, Consumer<byte[]> reply) {
        int zone = relativeLabels.isEmpty() ? -1 : zoneNames.indexOf(relativeLabels.get(relativeLabels.size() - 1));
        Long objectId = relativeLabels.size() == 2 ? parseObjectId(relativeLabels.get(0)) : null;
        boolean exists = relativeLabels.isEmpty() || zone >= 0 && (relativeLabels.size() == 1 || objectId != null);
        if (!exists) {
            reply.accept(DnsMessage.soaResponse(query, DnsMessage.NXDOMAIN, dnsZone, false));
        } else if (relativeLabels.isEmpty() && query.type() == DnsMessage.TYPE_SOA) {
            reply.accept(DnsMessage.soaResponse(query, DnsMessage.NOERROR, dnsZone, true));
        } else if (relativeLabels.isEmpty()
                || query.type() != DnsMessage.TYPE_A && query.type() != DnsMessage.TYPE_ANY) {
            reply.accept(DnsMessage.soaResponse(query, DnsMessage.NOERROR, dnsZone, false));
        } else {
            engine.lookup(
                    zone,
                    objectId,
                    addresses -> reply.accept(
                            addresses.isEmpty()
                                    ? DnsMessage.rcodeResponse(query, DnsMessage.SERVFAIL)
                                    : DnsMessage.addressResponse(query, addresses)));
        }
    }

    private static Long parseObjectId(String label) {
        return label.matches("[0-9a-f]{16}") ? Long.parseUnsignedLong(label, 16) : null;
    }
}
