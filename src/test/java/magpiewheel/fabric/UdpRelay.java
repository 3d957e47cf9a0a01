package magpiewheel.fabric;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.net.PortUnreachableException;
import java.util.Arrays;
import java.util.concurrent.ScheduledExecutorService;

/**
 * Both ways between two fronts. Each front has a socket here, connected to where that front listens and bound to an
 * address of its own: the one under which it knows the other front.
 */
final class UdpRelay implements AutoCloseable {
    private static final int ROOM = 2_048;
    /** ms; so long nobody listens for a front whose datagram was refused on the other side. */
    private static final long REFUSES_MS = 150;

    private final End first;
    private final End second;
    private volatile boolean passesRefusals;
    private volatile boolean closed;

    /** The socket that stands for one front towards the other. */
    private final class End {
        private final InetSocketAddress front;
        private final InetSocketAddress address;
        private final Way way;
        private volatile DatagramSocket socket;
        private End other;

        End(InetSocketAddress front, String host, long seed, ScheduledExecutorService later) throws IOException {
            this.front = front;
            this.way = new Way(seed, later, message -> other.send(message));
            DatagramSocket bound = open(new InetSocketAddress(host, 0));
            this.address = (InetSocketAddress) bound.getLocalSocketAddress();
            this.socket = bound;
        }

        private DatagramSocket open(InetSocketAddress at) throws IOException {
            DatagramSocket bound = new DatagramSocket(at);
            bound.connect(front);
            return bound;
        }

        /** To this end's front, as if it came from the other one. */
        private void send(byte[] message) {
            try {
                socket.send(new DatagramPacket(message, message.length));
            } catch (PortUnreachableException e) {
                refused();
            } catch (IOException e) {
                // Closed for a moment, or for good: the datagram is lost.
            }
        }

        /** Nobody listens at this end's front; the machine of the other one says so, if anything comes back at all. */
        private void refused() {
            if (passesRefusals && !way.isCut()) {
                other.socket.close();
            }
        }

        private void run() {
            byte[] room = new byte[ROOM];
            while (!closed) {
                try {
                    DatagramPacket packet = new DatagramPacket(room, room.length);
                    socket.receive(packet);
                    way.came(Arrays.copyOf(room, packet.getLength()));
                } catch (PortUnreachableException e) {
                    refused();
                } catch (IOException e) {
                    again();
                }
            }
            socket.close();
        }

        private void again() {
            try {
                Thread.sleep(REFUSES_MS);
                if (!closed) {
                    socket = open(address);
                }
            } catch (IOException e) {
                System.err.println("relay: " + address + " " + e);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /** Between the fronts that listen at these addresses; each is given a host for the address of the other. */
    UdpRelay(
            InetSocketAddress one,
            String otherForOne,
            InetSocketAddress other,
            String oneForOther,
            long seed,
            ScheduledExecutorService later)
            throws IOException {
        first = new End(one, otherForOne, seed, later);
        second = new End(other, oneForOther, seed + 1, later);
        first.other = second;
        second.other = first;
        for (End end : new End[] {first, second}) {
            Thread thread = new Thread(end::run, "relay");
            thread.setDaemon(true);
            thread.start();
        }
    }

    /** Where the first (or the second) front reaches the other. */
    InetSocketAddress address(boolean ofFirst) {
        return (ofFirst ? first : second).address;
    }

    /** The way from the first front to the second, or back. */
    Way way(boolean fromFirst) {
        return (fromFirst ? first : second).way;
    }

    /** Whether a front sees that nobody listens where its datagram went, or hears nothing of it. */
    void passRefusals(boolean on) {
        passesRefusals = on;
    }

    @Override
    public void close() {
        closed = true;
        first.socket.close();
        second.socket.close();
    }
}
