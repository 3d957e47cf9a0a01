package magpiewheel.peers;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.net.PortUnreachableException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import magpiewheel.engine.Actor;
import magpiewheel.engine.Counter;
import magpiewheel.engine.Counters;
import magpiewheel.engine.Engine;
import magpiewheel.engine.WorkerPool;

/** Datagrams between the fronts of a tier: an actor for each of them, and one reader for what comes in. */
public final class PeerTransport implements Engine.PeerTransport {
    /** Hears that nobody listens at a front's address, as was asked at a time. */
    public interface Refusals {
        /** Its machine said so. */
        void refused(int front, long askedAt);
    }

    private static final int MOST_BYTES = 256;
    private static final int MAILBOX = 64;
    private final DatagramSocket socket;
    private final Counters counters;
    private final Map<InetSocketAddress, Integer> places = new HashMap<>();
    private final Map<Integer, Peer> peers = new HashMap<>();
    private final Knocker knocker;
    private BiConsumer<Integer, byte[]> receiver;
    private Refusals refusals;

    /**
     * A question to a front's machine: at which time it was put, and the socket at which an answer comes, until when
     * (ns).
     */
    private record Question(int front, InetSocketAddress address, long at) {}

    private record Open(Question question, DatagramSocket probe, long untilNs) {}

    /**
     * Asks whether anybody listens at a front's address, from the address that the front knows this one by: its machine
     * refuses what comes for nobody, and only a socket that is connected hears of that. All questions that wait are put
     * before an answer is waited for, so that those machines that say nothing keep none of the others waiting. A full
     * mailbox drops the question; it will be asked again.
     */
    private final class Knocker extends Actor {
        private static final int WAIT_MS = 40;
        private static final byte[] KNOCK = {0};
        private final ConcurrentLinkedQueue<Question> waiting = new ConcurrentLinkedQueue<>();

        Knocker() {
            super("knocker", MAILBOX, counters);
        }

        void ask(Question question) {
            waiting.add(question);
            if (!offer(this::knock)) {
                waiting.remove(question);
                counters.add(Counter.PEER_DROPPED);
            }
        }

        private void knock() {
            List<Open> open = new ArrayList<>();
            for (Question question = waiting.poll(); question != null; question = waiting.poll()) {
                put(question, open);
            }
            for (Open each : open) {
                await(each);
            }
        }

        private void put(Question question, List<Open> open) {
            counters.add(Counter.KNOCKS);
            DatagramSocket probe = null;
            try {
                probe = new DatagramSocket(null);
                probe.setReuseAddress(true);
                probe.bind(socket.getLocalSocketAddress());
                probe.connect(question.address);
                probe.send(new DatagramPacket(KNOCK, KNOCK.length));
                open.add(new Open(question, probe, System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WAIT_MS)));
            } catch (IOException e) {
                counters.add(Counter.PEER_DROPPED);
                if (probe != null) {
                    probe.close();
                }
            }
        }

        private void await(Open open) {
            try (DatagramSocket probe = open.probe) {
                probe.setSoTimeout((int) Math.max(1, TimeUnit.NANOSECONDS.toMillis(open.untilNs - System.nanoTime())));
                byte[] buffer = new byte[MOST_BYTES + 1];
                DatagramPacket packet = new DatagramPacket(buffer, buffer.length);
                probe.receive(packet);
                // It lives, and what it sent came here in place of the other socket.
                taken(open.question.front, packet);
            } catch (PortUnreachableException e) {
                counters.add(Counter.KNOCKS_REFUSED);
                refusals.refused(open.question.front, open.question.at);
            } catch (SocketTimeoutException e) {
                // A machine that says nothing: nothing is known.
            } catch (IOException e) {
                counters.add(Counter.PEER_DROPPED);
            }
        }
    }

    /** Another front. A full mailbox drops the message, as the network might. */
    private final class Peer extends Actor {
        private final InetSocketAddress address;

        Peer(InetSocketAddress address) {
            super("peer", MAILBOX, counters);
            this.address = address;
        }

        void tell(byte[] message) {
            if (!offer(() -> send(message))) {
                counters.add(Counter.PEER_DROPPED);
            }
        }

        private void send(byte[] message) {
            try {
                socket.send(new DatagramPacket(message, message.length, address));
                counters.add(Counter.PEER_SENT);
            } catch (IOException e) {
                counters.add(Counter.PEER_DROPPED);
            }
        }
    }

    /** Listens, and speaks to the fronts in the order of their numbers. */
    public PeerTransport(InetSocketAddress listen, List<InetSocketAddress> fronts, int me, Counters counters)
            throws IOException {
        this.counters = counters;
        knocker = new Knocker();
        socket = new DatagramSocket(null);
        // A new version of the program listens here before the old one has ended.
        socket.setReuseAddress(true);
        socket.bind(listen);
        for (int i = 0; i < fronts.size(); i++) {
            places.put(fronts.get(i), i);
            if (i != me) {
                peers.put(i, new Peer(fronts.get(i)));
            }
        }
    }

    /** Starts to send, and to receive for the engine. */
    public void start(BiConsumer<Integer, byte[]> to, Refusals refused, WorkerPool crew) {
        receiver = to;
        refusals = refused;
        peers.values().forEach(peer -> peer.start(crew));
        knocker.start(crew);
        Actor.daemonThread("peer-reader", this::receive).start();
    }

    /** Neither sends nor receives any more. */
    public void close() {
        socket.close();
    }

    @Override
    public void send(int recipient, byte[] message) {
        Peer peer = peers.get(recipient);
        if (message.length > MOST_BYTES) {
            counters.add(Counter.PEER_DROPPED);
        } else if (peer != null) {
            peer.tell(message);
        }
    }

    @Override
    public void probe(int recipient, long at) {
        Peer peer = peers.get(recipient);
        if (peer != null) {
            knocker.ask(new Question(recipient, peer.address, at));
        }
    }

    private void taken(int from, DatagramPacket packet) {
        counters.add(Counter.PEER_RECEIVED);
        receiver.accept(from, Arrays.copyOf(packet.getData(), packet.getLength()));
    }

    private void receive() {
        byte[] buffer = new byte[MOST_BYTES + 1];
        while (!socket.isClosed()) {
            try {
                DatagramPacket packet = new DatagramPacket(buffer, buffer.length);
                socket.receive(packet);
                Integer from = places.get((InetSocketAddress) packet.getSocketAddress());
                if (from == null || packet.getLength() > MOST_BYTES) {
                    counters.add(Counter.PEER_DROPPED);
                    continue;
                }
                taken(from, packet);
            } catch (IOException e) {
                if (!socket.isClosed()) {
                    counters.add(Counter.PEER_DROPPED);
                }
            }
        }
    }
}
