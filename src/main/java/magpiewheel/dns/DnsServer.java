package magpiewheel.dns;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.SocketAddress;
import java.util.List;
import magpiewheel.engine.Actor;
import magpiewheel.engine.Counter;
import magpiewheel.engine.Counters;
import magpiewheel.engine.Engine;

/**
 * Request routing by DNS, over UDP and TCP. This actor sends the UDP responses; a response is dropped if the actor's
 * mailbox is full, as it could be in the network, and the resolver retries.
 */
public final class DnsServer extends Actor {
    /**
     * What the server needs to know.
     *
     * @param listen the address for UDP and TCP; with port 0, the system chooses a port that is free for both
     * @param dnsZone the DNS zone that is answered for
     * @param zoneNames names of the zones of routers, by zone number; each is a subdomain of the DNS zone
     * @param maxTcpConnections the maximum number of open TCP connections
     */
    public record Settings(InetSocketAddress listen, String dnsZone, List<String> zoneNames, int maxTcpConnections) {}

    /** ms; the longest time that a terminating process may wait for {@link #isEnding}. */
    public static final long LONGEST_END_MS = 2_000;

    private static final int MAILBOX_CAPACITY = 1_024;
    private static final int BACKLOG = 64;
    private static final int MAX_BIND_ATTEMPTS = 20;

    private final Settings settings;
    private final Counters counters;
    private final QueryResolver resolver;
    private final TcpServer tcp;
    private InetSocketAddress address;
    /** Null until {@link #open}. */
    private volatile DatagramSocket udp;

    /** Creates a server that is bound to no address yet. */
    public DnsServer(Settings settings, Engine engine, Counters counters) {
        super("dns", MAILBOX_CAPACITY, counters);
        this.settings = settings;
        this.counters = counters;
        this.resolver = new QueryResolver(settings.dnsZone(), settings.zoneNames(), engine, counters);
        this.tcp = new TcpServer(settings.maxTcpConnections(), resolver, counters);
    }

    /** Binds the UDP and TCP sockets, and answers queries from now on. */
    public void open() throws IOException {
        InetSocketAddress listen = settings.listen();
        ServerSocket tcpSocket = null;
        for (int attemptsLeft = listen.getPort() == 0 ? MAX_BIND_ATTEMPTS : 1; udp == null; attemptsLeft--) {
            tcpSocket = new ServerSocket();
            tcpSocket.setReuseAddress(true);
            tcpSocket.bind(listen, BACKLOG);
            try {
                udp = new DatagramSocket(new InetSocketAddress(listen.getAddress(), tcpSocket.getLocalPort()));
            } catch (IOException e) {
                // The system chose a TCP port whose UDP counterpart is in use; retry with another.
                tcpSocket.close();
                if (attemptsLeft <= 1) {
                    throw e;
                }
            }
        }
        address = (InetSocketAddress) tcpSocket.getLocalSocketAddress();
        start();
        daemonThread("dns-udp", this::readUdp).start();
        tcp.listen(tcpSocket);
    }

    /** Returns the address that the server listens on. */
    public InetSocketAddress address() {
        return address;
    }

    // ---------------------------------------------------------------- end

    /** Accepts no more; queries that have arrived are answered until {@link #close}. */
    public void end() {
        tcp.leave();
    }

    /**
     * Whether queries over TCP that arrived before {@link #end} wait for their responses, responses for a resolver that
     * takes them, or connections for a resolver to see their end.
     */
    public boolean isEnding() {
        return tcp.isEnding();
    }

    /** Closes all sockets; resolvers get no further answer. */
    public void close() {
        end();
        if (udp != null) {
            udp.close();
        }
        tcp.close();
    }

    // ---------------------------------------------------------------- UDP

    private void readUdp() {
        byte[] buffer = new byte[DnsMessage.MAX_EDNS_UDP_BYTES];
        while (!udp.isClosed()) {
            try {
                DatagramPacket packet = new DatagramPacket(buffer, buffer.length);
                udp.receive(packet);
                SocketAddress from = packet.getSocketAddress();
                resolver.resolve(buffer, packet.getLength(), false, response -> reply(response, from));
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
}
