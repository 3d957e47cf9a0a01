package magpiewheel.staleness;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import magpiewheel.membership.MembershipView;

/**
 * Gossip between the routers of a zone for bounded-staleness reads: known replicas with their origin times, sticky
 * replicas, and bounds of the origin's clock. Each tick sends a bounded number of datagrams; entries that exceed the
 * queue are dropped.
 */
final class ReplicaGossip {
    /** The first byte of every datagram. */
    static final byte PROTOCOL_BYTE = (byte) 0xe2;
    /** The second byte of every datagram. */
    private static final byte VERSION = 1;

    private static final byte REPLICAS = 1;
    private static final byte STICKY_REPLICAS = 2;
    private static final byte CLOCK_REQUEST = 3;
    private static final byte CLOCK_ANSWER = 4;
    /** Earlier sticky replicas, sent to a router that started; they do not override those that it knows already. */
    private static final byte REMEMBERED_STICKY_REPLICAS = 5;
    /** Interval between ticks. */
    static final long TICK_US = 250_000;
    /** Number of routers that receive each message. */
    static final int RECEIVERS_PER_MESSAGE = 4;
    /** Maximum number of datagrams per tick, besides clock requests and answers. */
    static final int MAX_DATAGRAMS_PER_TICK = 8;
    /** Protocol byte, version, kind and entry count. */
    private static final int HEADER_BYTES = 4;
    /** Maximum number of replicas in a datagram, each of three 8-byte fields and the 2-byte part number. */
    private static final int REPLICAS_PER_MESSAGE = 9;
    /** Maximum number of sticky replicas in a datagram, each of three 8-byte fields. */
    private static final int STICKY_PER_MESSAGE = 10;
    /** Maximum number of queued entries of each kind. */
    private static final int MAX_QUEUED = 256;
    /** Number of latest entries of each kind that are kept for routers that start. */
    private static final int MAX_REMEMBERED = 1_024;
    /** If the interval of the origin's clock is wider than this, another router is asked for its bounds. */
    private static final long PRECISE_CLOCK_WIDTH_US = 25_000;
    /**
     * Minimum interval between clock requests after the first {@link #FULL_STATE_REQUESTS}; each goes to one router.
     */
    private static final long REQUEST_INTERVAL_US = 500_000;
    /** Clock answers that arrive later than this after the request are ignored. */
    private static final long MAX_ANSWER_AGE_US = 3_000_000;
    /** Number of clock requests after the start that also ask for all remembered entries. */
    private static final int FULL_STATE_REQUESTS = 2;

    private final int routerId;
    private final int zone;
    private final MembershipView membership;
    private final GossipSender sender;
    private final OriginClock originClock;
    private final ReplicaIndex replicas;
    private final StickyReplicaTable stickyReplicas;
    private final EntryQueue replicaEntries = new EntryQueue();
    private final EntryQueue stickyEntries = new EntryQueue();
    private final ArrayDeque<byte[]> pendingMessages = new ArrayDeque<>();
    private final ArrayDeque<Integer> pendingReceivers = new ArrayDeque<>();
    private final Map<Integer, Long> requestsSent = new HashMap<>();
    private int fullStateRequestsLeft = FULL_STATE_REQUESTS;
    private long due;
    private long nextRequestAt;
    private int nextReceiver;
    private long malformed;

    /** A copy that an endpoint holds or, with a session other than 0, a sticky replica. */
    private record Entry(long session, long object, int part, long endpoint, long originTimeUs) {}

    /** Entries of one kind: those queued for sending, and the latest ones for routers that start. */
    private static final class EntryQueue {
        final ArrayDeque<Entry> queued = new ArrayDeque<>();
        final ArrayDeque<Entry> remembered = new ArrayDeque<>();

        void add(Entry entry) {
            if (queued.size() < MAX_QUEUED) {
                queued.add(entry);
            }
            remembered.add(entry);
            if (remembered.size() > MAX_REMEMBERED) {
                remembered.remove();
            }
        }
    }

    ReplicaGossip(
            long now,
            int routerId,
            int zone,
            MembershipView membership,
            GossipSender sender,
            OriginClock originClock,
            ReplicaIndex replicas,
            StickyReplicaTable stickyReplicas) {
        this.routerId = routerId;
        this.zone = zone;
        this.membership = membership;
        this.sender = sender;
        this.originClock = originClock;
        this.replicas = replicas;
        this.stickyReplicas = stickyReplicas;
        this.due = now;
        this.nextReceiver = routerId;
    }

    void replicaObserved(long object, int part, long endpoint, long originTimeUs) {
        replicaEntries.add(new Entry(0, object, part, endpoint, originTimeUs));
    }

    void stickyReplicaAssigned(long session, long object, long endpoint) {
        stickyEntries.add(new Entry(session, object, 0, endpoint, 0));
    }

    long due() {
        return due;
    }

    /** Returns the number of datagrams that could not be parsed. */
    long malformed() {
        return malformed;
    }

    void tick(long now) {
        due = now + TICK_US;
        List<Integer> routers = membership.runningMembersIn(zone);
        if (routers.isEmpty()) {
            replicaEntries.queued.clear();
            stickyEntries.queued.clear();
            pendingMessages.clear();
            pendingReceivers.clear();
            return;
        }
        requestClock(now, routers);
        int messagesLeft = MAX_DATAGRAMS_PER_TICK;
        while (messagesLeft > 0 && !pendingMessages.isEmpty()) {
            sender.send(pendingReceivers.remove(), pendingMessages.remove());
            messagesLeft--;
        }
        int to = Math.min(RECEIVERS_PER_MESSAGE, routers.size());
        while (messagesLeft >= to && !(replicaEntries.queued.isEmpty() && stickyEntries.queued.isEmpty())) {
            byte[] message = stickyEntries.queued.isEmpty()
                    ? encodeEntries(replicaEntries.queued, REPLICAS)
                    : encodeEntries(stickyEntries.queued, STICKY_REPLICAS);
            for (int i = 0; i < to; i++) {
                sender.send(routers.get(Math.floorMod(nextReceiver + i, routers.size())), message);
            }
            messagesLeft -= to;
            nextReceiver += to;
        }
        nextReceiver++;
    }

    private void requestClock(long now, List<Integer> routers) {
        long widthUs = originClock.widthUs(now);
        boolean imprecise = widthUs < 0 || widthUs > PRECISE_CLOCK_WIDTH_US;
        if (fullStateRequestsLeft == 0 && (!imprecise || now < nextRequestAt)) {
            return;
        }
        nextRequestAt = now + REQUEST_INTERVAL_US;
        int peer = routers.get(Math.floorMod(nextReceiver, routers.size()));
        requestsSent.put(peer, now);
        sender.send(
                peer,
                header(CLOCK_REQUEST, fullStateRequestsLeft > 0 ? 1 : 0, 8)
                        .putLong(now)
                        .array());
        fullStateRequestsLeft = Math.max(0, fullStateRequestsLeft - 1);
    }

    /** Removes the first entries, as many as fit into a datagram, and encodes them. */
    private static byte[] encodeEntries(ArrayDeque<Entry> entries, byte kind) {
        boolean isSticky = kind != REPLICAS;
        List<Entry> taken = new ArrayList<>();
        while (!entries.isEmpty() && taken.size() < (isSticky ? STICKY_PER_MESSAGE : REPLICAS_PER_MESSAGE)) {
            taken.add(entries.remove());
        }
        ByteBuffer bytes = header(kind, taken.size(), taken.size() * (isSticky ? 24 : 26));
        for (Entry entry : taken) {
            bytes.putLong(entry.object()).putLong(entry.endpoint());
            if (isSticky) {
                bytes.putLong(entry.session());
            } else {
                bytes.putLong(entry.originTimeUs()).putShort((short) entry.part());
            }
        }
        return bytes.array();
    }

    private static ByteBuffer header(byte kind, int count, int bodyBytes) {
        return ByteBuffer.allocate(HEADER_BYTES + bodyBytes)
                .put(PROTOCOL_BYTE)
                .put(VERSION)
                .put(kind)
                .put((byte) count);
    }

    /** Handles a datagram; one that cannot be parsed is counted, and ignored from the first missing field on. */
    void messageReceived(long now, int from, byte[] message) {
        ByteBuffer bytes = ByteBuffer.wrap(message);
        try {
            if (bytes.get() != PROTOCOL_BYTE || bytes.get() != VERSION) {
                malformed++;
                return;
            }
            byte kind = bytes.get();
            int count = bytes.get() & 0xff;
            switch (kind) {
                case REPLICAS -> replicasReceived(now, bytes, count);
                case STICKY_REPLICAS, REMEMBERED_STICKY_REPLICAS ->
                    stickyReplicasReceived(now, bytes, count, kind == REMEMBERED_STICKY_REPLICAS);
                case CLOCK_REQUEST -> sendClockAnswer(now, from, bytes.getLong(), count == 1);
                case CLOCK_ANSWER -> clockAnswerReceived(now, from, bytes.getLong(), bytes.getLong(), bytes.getLong());
                default -> malformed++;
            }
        } catch (BufferUnderflowException e) {
            malformed++;
        }
    }

    private void replicasReceived(long now, ByteBuffer bytes, int count) {
        for (int i = 0; i < count; i++) {
            long object = bytes.getLong();
            long endpoint = bytes.getLong();
            long originTimeUs = bytes.getLong();
            int part = bytes.getShort() & 0xffff;
            if (originTimeUs > 0) {
                replicas.observed(now, object, part, endpoint, originTimeUs);
            }
        }
    }

    private void stickyReplicasReceived(long now, ByteBuffer bytes, int count, boolean isRemembered) {
        for (int i = 0; i < count; i++) {
            long object = bytes.getLong();
            long endpoint = bytes.getLong();
            long session = bytes.getLong();
            if (session != 0 && !(isRemembered && stickyReplicas.contains(now, session, object))) {
                stickyReplicas.assign(now, session, object, endpoint);
            }
        }
    }

    private void sendClockAnswer(long now, int from, long echo, boolean wantsFullState) {
        boolean clockKnown = originClock.isKnown(now);
        sender.send(
                from,
                header(CLOCK_ANSWER, 0, 24)
                        .putLong(echo)
                        .putLong(clockKnown ? originClock.earliest(now) : 0)
                        .putLong(clockKnown ? originClock.latest(now) : 0)
                        .array());
        if (wantsFullState && pendingMessages.size() < MAX_DATAGRAMS_PER_TICK) {
            queueRemembered(from, stickyEntries.remembered, REMEMBERED_STICKY_REPLICAS);
            queueRemembered(from, replicaEntries.remembered, REPLICAS);
        }
    }

    /** Queues remembered entries for a router, newest first, since those are the most likely to be requested. */
    private void queueRemembered(int to, ArrayDeque<Entry> remembered, byte kind) {
        ArrayDeque<Entry> entries = new ArrayDeque<>();
        remembered.forEach(entries::addFirst);
        while (!entries.isEmpty()) {
            pendingMessages.add(encodeEntries(entries, kind));
            pendingReceivers.add(to);
        }
    }

    /**
     * Applies another router's bounds of the origin's clock: the lower bound holds at the receipt of the answer, the
     * upper bound at the sending of the request.
     */
    private void clockAnswerReceived(long now, int from, long echo, long earliest, long latest) {
        Long sent = requestsSent.get(from);
        if (sent == null || sent != echo || now - echo > MAX_ANSWER_AGE_US || latest == 0) {
            return;
        }
        requestsSent.remove(from);
        originClock.raiseLowerBound(now, earliest);
        originClock.lowerUpperBound(echo, latest);
    }
}
