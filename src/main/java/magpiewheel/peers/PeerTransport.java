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

/** UDP datagrams between routers: one sending actor for each peer, and one thread that reads what arrives. */
public final class PeerTransport implements Engine.PeerTransport {
    /** Receives reports that no process listens at a peer's address. */
    public interface PortUnreachableListener {
        /** Called when the peer's host answered the probe of the given time with "port unreachable". */
        void portUnreachable(int peer, long probedAt);
    }

    private static final int MAX_DATAGRAM_BYTES = 256;
    private static final int MAILBOX_CAPACITY = 64;
    private final InetSocketAddress listen;
    private final Counters counters;
    private final Map<InetSocketAddress, Integer> indexByAddress = new HashMap<>();
    private final Map<Integer, Peer> peers = new HashMap<>();
    private final PortProber prober;
    /** Null until {@link #open}. */
    private volatile DatagramSocket socket;

    private BiConsumer<Integer, byte[]> receiver;
    private PortUnreachableListener unreachableListener;

    /**
     * A probe of a peer's address; {@code at} is the time of the request to probe, which is passed back with a refusal.
     */
    private record Probe(int peer, InetSocketAddress address, long at) {}

    private record PendingProbe(Probe probe, DatagramSocket probeSocket, long deadlineNs) {}

    /**
     * Probes whether a process listens at a peer's address. The peer's host refuses datagrams to a port without a
     * listener, and only a connected socket reports that. Probes are sent from the address that the peer knows this
     * router by. All queued probes are sent before the first result is awaited, so that hosts that do not answer delay
     * no other probe. If the mailbox is full, the probe is dropped; it will be requested again.
     */
    private final class PortProber extends Actor {
        private static final int PROBE_TIMEOUT_MS = 40;
        private static final byte[] PROBE_PAYLOAD = {0};
        private final ConcurrentLinkedQueue<Probe> queued = new ConcurrentLinkedQueue<>();

        PortProber() {
            super("peer-prober", MAILBOX_CAPACITY, counters);
        }

        void enqueue(Probe probe) {
            queued.add(probe);
            if (!offer(this::sendProbes)) {
                queued.remove(probe);
                counters.add(Counter.PEER_DROPPED);
            }
        }

        private void sendProbes() {
            List<PendingProbe> pending = new ArrayList<>();
            for (Probe probe = queued.poll(); probe != null; probe = queued.poll()) {
                sendProbe(probe, pending);
            }
            for (PendingProbe each : pending) {
                awaitResult(each);
            }
        }

        private void sendProbe(Probe probe, List<PendingProbe> pending) {
            counters.add(Counter.KNOCKS);
            DatagramSocket probeSocket = null;
            try {
                probeSocket = new DatagramSocket(null);
                probeSocket.setReuseAddress(true);
                probeSocket.bind(socket.getLocalSocketAddress());
                probeSocket.connect(probe.address);
                probeSocket.send(new DatagramPacket(PROBE_PAYLOAD, PROBE_PAYLOAD.length));
                pending.add(new PendingProbe(
                        probe, probeSocket, System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PROBE_TIMEOUT_MS)));
            } catch (IOException e) {
                counters.add(Counter.PEER_DROPPED);
                if (probeSocket != null) {
                    probeSocket.close();
                }
            }
        }

        private void awaitResult(PendingProbe pending) {
            try (DatagramSocket probeSocket = pending.probeSocket) {
                probeSocket.setSoTimeout(
                        (int) Math.max(1, TimeUnit.NANOSECONDS.toMillis(pending.deadlineNs - System.nanoTime())));
                byte[] buffer = new byte[MAX_DATAGRAM_BYTES + 1];
                DatagramPacket packet = new DatagramPacket(buffer, buffer.length);
                probeSocket.receive(packet);
                // The peer is alive; its message arrived at this socket instead of the main one.
                deliver(pending.probe.peer, packet);
            } catch (PortUnreachableException e) {
                counters.add(Counter.KNOCKS_REFUSED);
                unreachableListener.portUnreachable(pending.probe.peer, pending.probe.at);
            } catch (SocketTimeoutException e) {
                // No answer within the timeout: the peer's state remains unknown.
            } catch (IOException e) {
                counters.add(Counter.PEER_DROPPED);
            }
        }
    }

    /** The sending actor of one peer. If its mailbox is full, the message is dropped, as the network might drop it. */
    private final class Peer extends Actor {
        private final InetSocketAddress address;

        Peer(InetSocketAddress address) {
            super("peer", MAILBOX_CAPACITY, counters);
            this.address = address;
        }

        void enqueue(byte[] message) {
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

    /**
     * Creates a transport for the address {@code listen}, to which it is bound by {@link #open}. The index of a router
     * in {@code routers} is its number; {@code ownIndex} is this router's.
     */
    public PeerTransport(InetSocketAddress listen, List<InetSocketAddress> routers, int ownIndex, Counters counters) {
        this.listen = listen;
        this.counters = counters;
        prober = new PortProber();
        for (int i = 0; i < routers.size(); i++) {
            indexByAddress.put(routers.get(i), i);
            if (i != ownIndex) {
                peers.put(i, new Peer(routers.get(i)));
            }
        }
    }

    /**
     * Binds to the address. From now on an older process of this router that is bound to it receives nothing more: the
     * system gives all datagrams to the socket that was bound last.
     */
    public void open() throws IOException {
        DatagramSocket bound = new DatagramSocket(null);
        try {
            // During a restart, the new process binds to this address before the old one has exited.
            bound.setReuseAddress(true);
            bound.bind(listen);
        } catch (IOException e) {
            bound.close();
            throw e;
        }
        socket = bound;
    }

    /** Starts sending and receiving; {@code receiver} is called with the sender's number and the message. */
    public void start(
            BiConsumer<Integer, byte[]> receiver, PortUnreachableListener unreachableListener, WorkerPool workers) {
        this.receiver = receiver;
        this.unreachableListener = unreachableListener;
        peers.values().forEach(peer -> peer.start(workers));
        prober.start(workers);
        Actor.daemonThread("peer-reader", this::receive).start();
    }

    /** Closes the socket, which ends sending and receiving. */
    public void close() {
        DatagramSocket bound = socket;
        if (bound != null) {
            bound.close();
        }
    }

    @Override
    public void send(int recipient, byte[] message) {
        Peer peer = peers.get(recipient);
        if (message.length > MAX_DATAGRAM_BYTES || socket == null) {
            counters.add(Counter.PEER_DROPPED);
        } else if (peer != null) {
            peer.enqueue(message);
        }
    }

    @Override
    public void probe(int recipient, long at) {
        Peer peer = peers.get(recipient);
        if (peer != null && socket != null) {
            prober.enqueue(new Probe(recipient, peer.address, at));
        }
    }

    private void deliver(int from, DatagramPacket packet) {
        counters.add(Counter.PEER_RECEIVED);
        receiver.accept(from, Arrays.copyOf(packet.getData(), packet.getLength()));
    }

    private void receive() {
        byte[] buffer = new byte[MAX_DATAGRAM_BYTES + 1];
        while (!socket.isClosed()) {
            try {
                DatagramPacket packet = new DatagramPacket(buffer, buffer.length);
                socket.receive(packet);
                Integer from = indexByAddress.get((InetSocketAddress) packet.getSocketAddress());
                if (from == null || packet.getLength() > MAX_DATAGRAM_BYTES) {
                    counters.add(Counter.PEER_DROPPED);
                    continue;
                }
                deliver(from, packet);
            } catch (IOException e) {
                if (!socket.isClosed()) {
                    counters.add(Counter.PEER_DROPPED);
                }
            }
        }
    }
}
