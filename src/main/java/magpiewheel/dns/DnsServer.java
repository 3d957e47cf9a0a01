package magpiewheel.dns;

import java.io.IOException;
import java.net.BindException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.List;
import magpiewheel.engine.Actor;
import magpiewheel.engine.Counter;
import magpiewheel.engine.Counters;
import magpiewheel.engine.Engine;
import magpiewheel.engine.EventLog;
import magpiewheel.engine.Pause;

/**
 * Request routing by DNS, over UDP and TCP. This actor sends the UDP responses; a response is dropped if the actor's
 * mailbox is full, as it could be in the network, and the resolver retries.
 *
 * <p>During an upgrade two processes of one router share the address. The younger one answers all datagrams from the
 * moment it binds; the older one leaves new connections to it, too, once it finds it there, and takes them back if it
 * ends.
 */
public final class DnsServer extends Actor {
    /**
     * What the server needs to know.
     *
     * @param listen the address for UDP and TCP; with port 0, the system chooses a port that is free for both
     * @param dnsZone the DNS zone that is answered for
     * @param zoneNames names of the zones of routers, by zone number; each is a subdomain of the DNS zone
     * @param maxTcpConnections the maximum number of open TCP connections
     * @param shared whether several processes of this router may be bound to the address at once
     */
    public record Settings(
            InetSocketAddress listen, String dnsZone, List<String> zoneNames, int maxTcpConnections, boolean shared) {}

    /** ms; the longest time that a terminating process may wait for {@link #closeIfAnswered}. */
    public static final long LONGEST_END_MS = 2_000;

    private static final int MAILBOX_CAPACITY = 1_024;
    private static final int WATCH_MS = 50;

    private final Settings settings;
    private final boolean shared;
    private final Counters counters;
    private final QueryResolver resolver;
    private final TcpServer tcp;
    private InetSocketAddress address;
    /** Null until {@link #open}. */
    private volatile DatagramSocket udp;

    private SuccessorWatch watch;
    private volatile boolean ending;

    /** Creates a server that is bound to no address yet. */
    public DnsServer(Settings settings, Engine engine, Counters counters) {
        super("dns", MAILBOX_CAPACITY, counters);
        this.settings = settings;
        this.shared = settings.shared() && SocketTable.isAvailable();
        this.counters = counters;
        this.resolver = new QueryResolver(settings.dnsZone(), settings.zoneNames(), engine, counters);
        this.tcp = new TcpServer(settings.maxTcpConnections(), resolver, counters);
    }

    /**
     * Throws {@link BindException} if another program is bound to the address; for a process that is to bind later. An
     * older process of this router is no other program if the address is shared.
     */
    public void requireAvailable() throws IOException {
        if (shared) {
            DnsSockets.requireAvailable(settings.listen());
        }
    }

    /** Binds the UDP and TCP sockets, and answers queries from now on. Throws {@link BindException} as above. */
    public synchronized void open() throws IOException {
        DnsSockets sockets = DnsSockets.bind(settings.listen(), shared);
        udp = sockets.udp();
        address = (InetSocketAddress) sockets.tcp().getLocalSocketAddress();
        start();
        daemonThread("dns-udp", this::readUdp).start();
        tcp.listen(sockets.tcp());
        if (shared) {
            watch = new SuccessorWatch(address);
            daemonThread("dns-successor", this::watchForSuccessor).start();
        }
    }

    /** Returns the address that the server listens on. */
    public InetSocketAddress address() {
        return address;
    }

    // ---------------------------------------------------------------- upgrade and end

    private void watchForSuccessor() {
        while (!ending) {
            Pause.ms(WATCH_MS);
            leaveToSuccessor();
            tcp.closeOverdue();
        }
    }

    /**
     * Leaves resolvers to a younger process of this router, if there is one, or takes them back if it has ended.
     * Without effect if the address is not shared.
     */
    public synchronized void leaveToSuccessor() {
        if (watch == null || ending) {
            return;
        }
        try {
            boolean succeeded = watch.successorListens();
            if (succeeded && tcp.isListening()) {
                tcp.leave();
                EventLog.log(EventLog.Event.STATE, "dns=left-to-successor address=" + address);
            } else if (!succeeded && !tcp.isListening()) {
                tcp.listen(DnsSockets.bindTcp(address, true));
                watch = new SuccessorWatch(address);
                EventLog.log(EventLog.Event.STATE, "dns=taken-back address=" + address);
            }
        } catch (IOException e) {
            EventLog.log(EventLog.Event.SYSTEM_CALL_FAILED, "call=listen what=resolvers reason=" + e);
        }
    }

    /** Accepts no more; queries that have arrived are answered until {@link #close}. */
    public synchronized void end() {
        ending = true;
        tcp.leave();
    }

    /**
     * After {@link #end}: closes the server, unless queries over TCP that have arrived wait for their responses,
     * responses for a resolver that takes them, or connections for a resolver to see their end. Returns whether it is
     * closed.
     */
    public boolean closeIfAnswered() {
        if (tcp.isEnding()) {
            return false;
        }
        close();
        return true;
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
