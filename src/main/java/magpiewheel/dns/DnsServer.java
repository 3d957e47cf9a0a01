package magpiewheel.dns;

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
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import magpiewheel.engine.Actor;
import magpiewheel.engine.Counter;
import magpiewheel.engine.Counters;
import magpiewheel.engine.Engine;

/**
 * Request routing by DNS, over UDP and TCP. Names and rcodes are judged here; which fronts live and which cache an
 * object goes to is asked of the module. This actor writes the UDP answers; one that finds its mailbox full is dropped,
 * as the network might, and the resolver asks again.
 */
public final class DnsServer extends Actor {
    private static final int MAILBOX_CAPACITY = 1_024;
    private static final int BACKLOG = 64;
    private static final int MAX_BIND_ATTEMPTS = 20;
    private static final int TCP_IDLE_MS = 5_000;
    private static final long RESPONSE_TIMEOUT_MS = 1_000;
    private final DatagramSocket udp;
    private final ServerSocket tcp;
    private final List<String> dnsZone;
    private final List<String> zoneNames;
    private final Engine engine;
    private final Counters counters;
    private final Semaphore tcpPermits;

    /**
     * Answers for the zone, whose branches are named in the order of their numbers, and so many resolvers at a time
     * over TCP.
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
                // The system chose a port that somebody else has for UDP: it may choose again.
                tcpSocket.close();
                if (attemptsLeft <= 1) {
                    throw e;
                }
            }
        }
        tcp = tcpSocket;
        udp = udpSocket;
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return (InetSocketAddress) tcp.getLocalSocketAddress();
    }

    @Override
    public void start() {
        super.start();
        daemonThread("dns-udp", this::readUdp).start();
        daemonThread("dns-tcp", this::accept).start();
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
                counters.add(Counter.DNS_DROPPED);
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
                counters.add(Counter.DNS_DROPPED);
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
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
            // Closed, idle too long, or the module is stuck: the resolver sees the connection end.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            tcpPermits.release();
        }
    }

    // ---------------------------------------------------------------- names

    /** Calls back exactly once, or returns false for what deserves no answer. */
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
