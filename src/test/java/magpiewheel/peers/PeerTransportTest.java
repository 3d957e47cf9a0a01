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

/** Knocks at real sockets: what a machine says of a port, and what comes to the knocking socket by the way. */
class PeerTransportTest {
    private static final long WAIT_S = 20;
    /** Less than what 60 machines that say nothing take one after the other. */
    private static final long ONE_BY_ONE_NS = TimeUnit.SECONDS.toNanos(2);

    private final BlockingQueue<Long> refusals = new LinkedBlockingQueue<>();
    private final BlockingQueue<byte[]> messages = new LinkedBlockingQueue<>();

    /** Two addresses that nobody has, and that differ. */
    private static List<InetSocketAddress> free(InetAddress host) throws Exception {
        try (DatagramSocket one = new DatagramSocket(new InetSocketAddress(host, 0));
                DatagramSocket other = new DatagramSocket(new InetSocketAddress(host, 0))) {
            return List.of(
                    (InetSocketAddress) one.getLocalSocketAddress(), (InetSocketAddress) other.getLocalSocketAddress());
        }
    }

    @Test
    void aMachineRefusesOnlyWhereNobodyListens() throws Exception {
        InetAddress host = InetAddress.getByName("127.0.0.1");
        try (DatagramSocket lives = new DatagramSocket(new InetSocketAddress(host, 0))) {
            List<InetSocketAddress> free = free(host);
            InetSocketAddress here = free.get(0);
            InetSocketAddress gone = free.get(1);
            InetSocketAddress there = (InetSocketAddress) lives.getLocalSocketAddress();
            PeerTransport link = new PeerTransport(here, List.of(here, there, gone), 0, new Counters());
            link.start(
                    (from, message) -> messages.add(message),
                    (front, at) -> refusals.add(front * 1_000L + at),
                    new WorkerPool());
            link.probe(1, 7);
            DatagramPacket knock = new DatagramPacket(new byte[300], 300);
            lives.receive(knock);
            assertEquals(1, knock.getLength());
            assertEquals(here, knock.getSocketAddress(), "it comes from the address that the front is known by");
            // What the front sends just then is not lost, whichever socket of the two it comes to.
            byte[] word = {3, 1, 4};
            lives.send(new DatagramPacket(word, word.length, here));
            assertArrayEquals(word, messages.poll(WAIT_S, TimeUnit.SECONDS));
            link.probe(2, 9);
            assertEquals(2_009L, refusals.poll(WAIT_S, TimeUnit.SECONDS), "with the time of the question");
            assertEquals(0, refusals.size(), "the one that listens was not refused");
        }
    }

    /** One after the other they would take 2.4 s: 60 machines that say nothing, 40 ms each. */
    @Test
    void machinesThatSayNothingKeepNoAnswerWaiting() throws Exception {
        InetAddress host = InetAddress.getByName("127.0.0.1");
        InetSocketAddress here = free(host).get(0);
        List<DatagramSocket> silent = new ArrayList<>();
        List<InetSocketAddress> all = new ArrayList<>(List.of(here));
        try {
            for (int i = 0; i < 60; i++) {
                silent.add(new DatagramSocket(new InetSocketAddress(host, 0)));
                all.add((InetSocketAddress) silent.get(i).getLocalSocketAddress());
            }
            all.add(free(host).get(1));
            PeerTransport link = new PeerTransport(here, all, 0, new Counters());
            link.start(
                    (from, message) -> messages.add(message),
                    (front, at) -> refusals.add(front * 1_000L + at),
                    new WorkerPool());
            long least = Long.MAX_VALUE;
            // A machine that is busy for 2 s in one try is not in each of five.
            for (int tries = 0; tries < 5 && least >= ONE_BY_ONE_NS; tries++) {
                long from = System.nanoTime();
                for (int front = 1; front < all.size(); front++) {
                    link.probe(front, 5);
                }
                assertEquals(61_005L, refusals.poll(WAIT_S, TimeUnit.SECONDS));
                least = System.nanoTime() - from;
            }
            assertTrue(least < ONE_BY_ONE_NS, "put side by side, not within " + least + " ns");
        } finally {
            silent.forEach(DatagramSocket::close);
        }
    }
}
