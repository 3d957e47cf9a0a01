package magpiewheel.peers;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import magpiewheel.engine.Counters;
import magpiewheel.engine.WorkerPool;
import org.junit.jupiter.api.Test;

/** Probes over real sockets: reports of unreachable ports, and messages that arrive at the probing socket. */
class PeerTransportTest {
    private static final long TIMEOUT_S = 20;
    /** Less than the 2.4 s that sequential probes of 60 silent peers take. */
    private static final long SEQUENTIAL_PROBES_NS = TimeUnit.SECONDS.toNanos(2);

    private final BlockingQueue<Long> unreachableReports = new LinkedBlockingQueue<>();
    private final BlockingQueue<byte[]> messages = new LinkedBlockingQueue<>();

    /** Returns two different addresses that are not in use. */
    private static List<InetSocketAddress> unusedAddresses(InetAddress host) throws Exception {
        try (DatagramSocket one = new DatagramSocket(new InetSocketAddress(host, 0));
                DatagramSocket other = new DatagramSocket(new InetSocketAddress(host, 0))) {
            return List.of(
                    (InetSocketAddress) one.getLocalSocketAddress(), (InetSocketAddress) other.getLocalSocketAddress());
        }
    }

    @Test
    void onlyPortsWithoutListenerAreReportedUnreachable() throws Exception {
        InetAddress host = InetAddress.getByName("127.0.0.1");
        try (DatagramSocket listener = new DatagramSocket(new InetSocketAddress(host, 0))) {
            List<InetSocketAddress> unusedAddresses = unusedAddresses(host);
            InetSocketAddress ownAddress = unusedAddresses.get(0);
            InetSocketAddress closedAddress = unusedAddresses.get(1);
            InetSocketAddress listenerAddress = (InetSocketAddress) listener.getLocalSocketAddress();
            PeerTransport transport = new PeerTransport(
                    ownAddress, List.of(ownAddress, listenerAddress, closedAddress), 0, new Counters());
            transport.open();
            transport.start(
                    (from, message) -> messages.add(message),
                    (peer, at) -> unreachableReports.add(peer * 1_000L + at),
                    new WorkerPool());
            transport.probe(1, 7);
            DatagramPacket probe = new DatagramPacket(new byte[300], 300);
            listener.receive(probe);
            assertEquals(1, probe.getLength());
            assertEquals(ownAddress, probe.getSocketAddress(), "the probe comes from the router's own peer address");
            // A message that the peer sends now is not lost, whichever of the two sockets receives it.
            byte[] reply = {3, 1, 4};
            listener.send(new DatagramPacket(reply, reply.length, ownAddress));
            assertArrayEquals(reply, messages.poll(TIMEOUT_S, TimeUnit.SECONDS));
            transport.probe(2, 9);
            assertEquals(2_009L, unreachableReports.poll(TIMEOUT_S, TimeUnit.SECONDS), "with the time of the probe");
            assertEquals(0, unreachableReports.size(), "the listening peer is not reported");
        }
    }

    /** Sequential probes of 60 silent peers would take 2.4 s, 40 ms each. */
    @Test
    void silentPeersDoNotDelayOtherProbes() throws Exception {
        InetAddress host = InetAddress.getByName("127.0.0.1");
        InetSocketAddress ownAddress = unusedAddresses(host).get(0);
        List<DatagramSocket> silentPeers = new ArrayList<>();
        List<InetSocketAddress> addresses = new ArrayList<>(List.of(ownAddress));
        try {
            for (int i = 0; i < 60; i++) {
                silentPeers.add(new DatagramSocket(new InetSocketAddress(host, 0)));
                addresses.add((InetSocketAddress) silentPeers.get(i).getLocalSocketAddress());
            }
            addresses.add(unusedAddresses(host).get(1));
            PeerTransport transport = new PeerTransport(ownAddress, addresses, 0, new Counters());
            transport.open();
            transport.start(
                    (from, message) -> messages.add(message),
                    (peer, at) -> unreachableReports.add(peer * 1_000L + at),
                    new WorkerPool());
            long shortestNs = Long.MAX_VALUE;
            // A test machine may be busy for 2 s in one attempt, but hardly in all five.
            for (int attempts = 0; attempts < 5 && shortestNs >= SEQUENTIAL_PROBES_NS; attempts++) {
                long from = System.nanoTime();
                for (int peer = 1; peer < addresses.size(); peer++) {
                    transport.probe(peer, 5);
                }
                assertEquals(61_005L, unreachableReports.poll(TIMEOUT_S, TimeUnit.SECONDS));
                shortestNs = System.nanoTime() - from;
            }
            assertTrue(shortestNs < SEQUENTIAL_PROBES_NS, "probes were sequential: " + shortestNs + " ns");
        } finally {
            silentPeers.forEach(DatagramSocket::close);
        }
    }
}
