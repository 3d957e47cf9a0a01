package magpiewheel.fabric;

import static org.awaitility.Awaitility.await;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.PortUnreachableException;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import magpiewheel.wire.Fleet;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** The relays of the fabric do what the tests on it rely on: tried with plain sockets, without the program. */
public class RelayTest {
    private static final int A_MOMENT_MS = 200;
    private ScheduledExecutorService later;
    private DatagramSocket one;
    private DatagramSocket other;
    private UdpRelay relay;

    @BeforeMethod
    void start() throws Exception {
        later = Executors.newScheduledThreadPool(1);
        one = socket();
        other = socket();
        relay = new UdpRelay(at(one), "127.0.0.1", at(other), "127.0.0.1", 5, later);
    }

    @AfterMethod(alwaysRun = true)
    void stop() {
        relay.close();
        one.close();
        other.close();
        later.shutdownNow();
    }

    private static DatagramSocket socket() throws IOException {
        DatagramSocket socket = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"));
        socket.setSoTimeout((int) Fleet.WAIT_MS);
        return socket;
    }

    private static InetSocketAddress at(DatagramSocket socket) {
        return (InetSocketAddress) socket.getLocalSocketAddress();
    }

    private static void send(DatagramSocket from, InetSocketAddress to, int word) throws IOException {
        from.send(new DatagramPacket(new byte[] {(byte) word}, 1, to));
    }

    private static DatagramPacket receive(DatagramSocket at) throws IOException {
        DatagramPacket packet = new DatagramPacket(new byte[8], 8);
        at.receive(packet);
        return packet;
    }

    private static int word(DatagramSocket at) throws IOException {
        return receive(at).getData()[0];
    }

    /** Each side sends to and hears from one address, which stands for the other side. */
    @Test
    public void eachKnowsTheOtherByOneAddressForBothDirections() throws Exception {
        send(one, relay.address(true), 1);
        DatagramPacket came = receive(other);
        assertEquals(came.getSocketAddress(), relay.address(false), "the sender that it knows");
        send(other, relay.address(false), 2);
        assertEquals(receive(one).getSocketAddress(), relay.address(true));
        assertEquals(
                relay.way(true).datagrams.sum() + " " + relay.way(true).octets.sum(), "1 1");
    }

    /** A cut holds for one direction alone, and what was sent meanwhile never arrives. */
    @Test
    public void oneDirectionIsCutAndTheOtherIsNot() throws Exception {
        relay.way(true).cut(true);
        send(one, relay.address(true), 1);
        send(other, relay.address(false), 2);
        assertEquals(word(one), 2);
        await().until(() -> relay.way(true).datagrams.sum() == 1);
        relay.way(true).cut(false);
        send(one, relay.address(true), 3);
        assertEquals(word(other), 3, "the first never came");
    }

    /** Held datagrams are released in reverse order, each as often as asked. */
    @Test
    public void whatIsHeldBackComesLastFirstAndAsOftenAsWanted() throws Exception {
        relay.way(true).hold();
        for (int word = 1; word <= 3; word++) {
            send(one, relay.address(true), word);
        }
        await().until(() -> relay.way(true).datagrams.sum() == 3);
        assertEquals(relay.way(true).release(2), 3);
        List<Integer> came = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            came.add(word(other));
        }
        assertEquals(came, List.of(3, 3, 2, 2, 1, 1));
    }

    /** Loss is drawn from the seed: equal seeds lose the same datagrams. */
    @Test
    public void theSameSeedLosesTheSame() throws Exception {
        List<List<Integer>> both = new ArrayList<>();
        for (int round = 0; round < 2; round++) {
            List<Integer> came = new ArrayList<>();
            Way way = new Way(42, later, message -> came.add((int) message[0]));
            way.lose(0.3);
            for (int word = 0; word < 100; word++) {
                way.came(new byte[] {(byte) word});
            }
            both.add(came);
        }
        assertEquals(both.get(0), both.get(1));
        assertTrue(
                both.get(0).size() > 50 && both.get(0).size() < 90,
                "" + both.get(0).size());
    }

    /** With doubling and overtaking on, some datagrams arrive twice and some out of order. */
    @Test
    public void someAreDoubledAndSomeOvertaken() throws Exception {
        List<Integer> came = new ArrayList<>();
        Way way = new Way(43, later, message -> {
            synchronized (came) {
                came.add((int) message[0]);
            }
        });
        way.twice(0.5);
        way.overtake(0.5);
        for (int word = 0; word < 100; word++) {
            way.came(new byte[] {(byte) word});
        }
        await().until(() -> {
            synchronized (came) {
                return came.stream().distinct().count() == 100 && came.size() > 120;
            }
        });
        assertTrue(!came.equals(came.stream().sorted().toList()), "in another order");
    }

    /** The machine of a front says that nobody listens where the process behind the relay has gone; or it does not. */
    @Test
    public void aRefusalIsPassedOnForAMomentOrSwallowed() throws Exception {
        InetSocketAddress gone = at(other);
        other.close();
        one.connect(relay.address(true));
        for (int i = 0; i < 5; i++) {
            one.send(new DatagramPacket(new byte[1], 1));
        }
        one.setSoTimeout(A_MOMENT_MS);
        assertThrows(SocketTimeoutException.class, () -> receive(one));
        relay.passRefusals(true);
        // The refusal is seen by what is sent in the moment after: asked often enough to fall into it.
        one.setSoTimeout(5);
        await().pollInterval(5, TimeUnit.MILLISECONDS).until(() -> {
            try {
                one.send(new DatagramPacket(new byte[1], 1));
                receive(one);
                return false;
            } catch (PortUnreachableException e) {
                return true;
            } catch (SocketTimeoutException e) {
                return false;
            }
        });
        // Whoever starts there again is reached.
        other = new DatagramSocket(gone);
        other.setSoTimeout(20);
        await().until(() -> {
            try {
                one.send(new DatagramPacket(new byte[] {7}, 1));
                return word(other) == 7;
            } catch (PortUnreachableException | SocketTimeoutException e) {
                return false;
            }
        });
    }

    /** Nothing comes back over a way that is cut, no refusal either. */
    @Test
    public void noRefusalComesBackOverAWayThatIsCut() throws Exception {
        relay.passRefusals(true);
        relay.way(false).cut(true);
        other.close();
        one.connect(relay.address(true));
        one.setSoTimeout(A_MOMENT_MS);
        for (int i = 0; i < 5; i++) {
            one.send(new DatagramPacket(new byte[1], 1));
            assertThrows(SocketTimeoutException.class, () -> receive(one));
        }
    }

    /**
     * A silenced connection carries nothing either way without an error, delivers what it kept once the silence ends,
     * and can be reset.
     */
    @Test
    public void aConnectionFallsSilentWithoutAWordGoesOnAndIsReset() throws Exception {
        try (ServerSocket target = new ServerSocket(0, 5, InetAddress.getByName("127.0.0.1"));
                TcpRelay tcp = new TcpRelay("127.0.0.1", (InetSocketAddress) target.getLocalSocketAddress());
                Socket front =
                        new Socket(tcp.address().getAddress(), tcp.address().getPort());
                Socket far = target.accept()) {
            front.getOutputStream().write(1);
            assertEquals(far.getInputStream().read(), 1);
            tcp.silenceOpen();
            front.getOutputStream().write(2);
            far.getOutputStream().write(3);
            far.setSoTimeout(A_MOMENT_MS);
            front.setSoTimeout(A_MOMENT_MS);
            assertThrows(
                    SocketTimeoutException.class, () -> far.getInputStream().read());
            assertThrows(
                    SocketTimeoutException.class, () -> front.getInputStream().read());
            try (Socket next =
                            new Socket(tcp.address().getAddress(), tcp.address().getPort());
                    Socket sound = target.accept()) {
                next.getOutputStream().write(4);
                assertEquals(sound.getInputStream().read(), 4, "a new one is sound");
            }
            tcp.heal();
            far.setSoTimeout((int) Fleet.WAIT_MS);
            front.setSoTimeout((int) Fleet.WAIT_MS);
            assertEquals(
                    far.getInputStream().read() + " " + front.getInputStream().read(), "2 3", "what was kept comes");
            tcp.reset();
            assertThrows(SocketException.class, () -> front.getInputStream().read());
        }
    }
}
