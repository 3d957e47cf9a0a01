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
    private static final int MAILBOX = 1_024;
    private static final int BACKLOG = 64;
    private static final int BIND_TRIES = 20;
    private static final int TCP_IDLE_MS = 5_000;
    private static final long ANSWER_MS = 1_000;
    private final DatagramSocket udp;
    private final ServerSocket tcp;
    private final List<String> zone;
    private final List<String> branches;
    private final Engine engine;
    private final Counters counters;
    private final Semaphore tcpRoom;

    /**
     * Answers for the zone, whose branches are named in the order of their numbers, and so many resolvers at a time
     * over TCP.
     */
    public DnsServer(
            InetSocketAddress listen,
            String zone,
            List<String> branches,
            int resolvers,
            Engine engine,
            Counters counters)
            throws IOException {
        super("dns", MAILBOX, counters);
        this.tcpRoom = new Semaphore(resolvers);
        this.zone = List.of(zone.toLowerCase(Locale.ROOT).split("\\."));
        this.branches =
                branches.stream().map(name -> name.toLowerCase(Locale.ROOT)).toList();
        this.engine = engine;
        this.counters = counters;
        ServerSocket streams = null;
        DatagramSocket datagrams = null;
        for (int tries = listen.getPort() == 0 ? BIND_TRIES : 1; datagrams == null; tries--) {
            streams = new ServerSocket();
            streams.setReuseAddress(true);
            streams.bind(listen, BACKLOG);
            try {
                datagrams = new DatagramSocket(new InetSocketAddress(listen.getAddress(), streams.getLocalPort()));
            } catch (IOException e) {
                // The system chose a port that somebody else has for UDP: it may choose again.
                streams.close();
                if (tries <= 1) {
                    throw e;
                }
            }
        }
        tcp = streams;
        udp = datagrams;
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
        byte[] buffer = new byte[DnsMessage.EDNS_BYTES];
        while (!udp.isClosed()) {
            try {
                DatagramPacket packet = new DatagramPacket(buffer, buffer.length);
                udp.receive(packet);
                SocketAddress from = packet.getSocketAddress();
                resolve(buffer, packet.getLength(), false, answer -> reply(answer, from));
            } catch (IOException e) {
                counters.add(Counter.DNS_DROPPED);
            }
        }
    }

    private void reply(byte[] answer, SocketAddress to) {
        boolean taken = offer(() -> {
            try {
                udp.send(new DatagramPacket(answer, answer.length, to));
                counters.add(Counter.DNS_ANSWERS);
            } catch (IOException e) {
                counters.add(Counter.DNS_DROPPED);
            }
        });
        if (!taken) {
            counters.add(Counter.DNS_DROPPED);
        }
    }

    // ---------------------------------------------------------------- TCP

    private void accept() {
        while (!tcp.isClosed()) {
            try {
                Socket socket = tcp.accept();
                if (tcpRoom.tryAcquire()) {
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
                CompletableFuture<byte[]> answer = new CompletableFuture<>();
                if (!resolve(query, query.length, true, answer::complete)) {
                    return;
                }
                byte[] bytes = answer.get(ANSWER_MS, TimeUnit.MILLISECONDS);
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
            tcpRoom.release();
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
        int own = query.labels().size() - zone.size();
        if (query.error() != DnsMessage.NOERROR) {
            reply.accept(DnsMessage.bare(query, query.error()));
        } else if (query.qclass() != DnsMessage.CLASS_IN
                || own < 0
                || !query.labels().subList(own, own + zone.size()).equals(zone)) {
            reply.accept(DnsMessage.bare(query, DnsMessage.REFUSED));
        } else {
            inZone(query, query.labels().subList(0, own), reply);
        }
        return true;
    }

    private void inZone(DnsMessage.Query query, List<String> own, Consumer<byte[]> reply) {
        int branch = own.isEmpty() ? -1 : branches.indexOf(own.get(own.size() - 1));
        Long object = own.size() == 2 ? object(own.get(0)) : null;
        boolean exists = own.isEmpty() || branch >= 0 && (own.size() == 1 || object != null);
        if (!exists) {
            reply.accept(DnsMessage.soa(query, DnsMessage.NXDOMAIN, zone, false));
        } else if (own.isEmpty() && query.type() == DnsMessage.TYPE_SOA) {
            reply.accept(DnsMessage.soa(query, DnsMessage.NOERROR, zone, true));
        } else if (own.isEmpty() || query.type() != DnsMessage.TYPE_A && query.type() != DnsMessage.TYPE_ANY) {
            reply.accept(DnsMessage.soa(query, DnsMessage.NOERROR, zone, false));
        } else {
            engine.lookup(
                    branch,
                    object,
                    addresses -> reply.accept(
                            addresses.isEmpty()
                                    ? DnsMessage.bare(query, DnsMessage.SERVFAIL)
                                    : DnsMessage.addresses(query, addresses)));
        }
    }

    private static Long object(String label) {
        return label.matches("[0-9a-f]{16}") ? Long.parseUnsignedLong(label, 16) : null;
    }
}
