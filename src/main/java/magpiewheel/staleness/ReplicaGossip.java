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
 * What routers send each other for reads of bounded staleness: replicas with their origin times and sticky replicas,
 * within a zone, and bounds of the origin's clock. A tick sends a bounded number of datagrams; what the queue can't
 * hold is not sent.
 */
final class ReplicaGossip {
    /** The first byte of every datagram, and the version. */
    static final byte PROTOCOL_BYTE = (byte) 0xe2;

    private static final byte VERSION = 1;
    private static final byte REPLICAS = 1;
    private static final byte STICKY_REPLICAS = 2;
    private static final byte CLOCK_REQUEST = 3;
    private static final byte CLOCK_ANSWER = 4;
    /** Pins from before, for a front that started: what it knows by itself is newer. */
    private static final byte REMEMBERED_STICKY_REPLICAS = 5;
    /** From one tick to the next; fronts told in one; datagrams in one. */
    static final long TICK_US = 250_000;

    static final int RECEIVERS_PER_MESSAGE = 4;
    static final int MAX_DATAGRAMS_PER_TICK = 8;
    /** Words in a datagram: three of eight bytes, and for a copy two more of its part. */
    private static final int HEADER_BYTES = 4;

    private static final int REPLICAS_PER_MESSAGE = 9;
    private static final int STICKY_PER_MESSAGE = 10;
    /** News that wait, and what is kept for fronts that start. */
    private static final int MAX_QUEUED = 256;

    private static final int MAX_REMEMBERED = 1_024;
    /** A clock that is known worse than this is asked about, one front each time; an answer counts so long. */
    private static final long PRECISE_CLOCK_WIDTH_US = 25_000;

    private static final long REQUEST_INTERVAL_US = 500_000;
    private static final long MAX_ANSWER_AGE_US = 3_000_000;
    /** So many fronts are asked for all they have at the start. */
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

    /** A copy that a node holds, or with a session a pin. */
    private record Entry(long session, long object, int part, long endpoint, long originTimeUs) {}

    /** Words of one kind: those that wait, and the last ones. */
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

    /** Datagrams that could not be used. */
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

    /** As many of the first entries as fit. */
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

    /** Whatever can't be used has no effect and is counted. */
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

    /** The newest first: they are the likeliest to be asked for. */
    private void queueRemembered(int to, ArrayDeque<Entry> remembered, byte kind) {
        ArrayDeque<Entry> entries = new ArrayDeque<>();
        remembered.forEach(entries::addFirst);
        while (!entries.isEmpty()) {
            pendingMessages.add(encodeEntries(entries, kind));
            pendingReceivers.add(to);
        }
    }

    /** The origin's clock was past the earliest when the answer came, and not past the latest when it was asked for. */
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
