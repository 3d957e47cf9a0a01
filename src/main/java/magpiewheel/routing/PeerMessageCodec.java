package magpiewheel.routing;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/** Codes the messages between directors: a head, then loads, fills that were sent, and holders. */
final class PeerMessageCodec {
    /** Most bytes that one message may have. */
    static final int MOST_BYTES = 256;

    private static final byte VERSION = 4;
    private static final int HEAD_BYTES = 17;
    private static final int LOAD_BYTES = 9;
    private static final int HOLDER_BYTES = 18;
    /** Loads leave room for a holder. */
    private static final int MOST_LOADS = (MOST_BYTES - HEAD_BYTES - HOLDER_BYTES) / LOAD_BYTES;

    private static final int NODE_PORT_BITS = 16;
    private static final int MOST_BYTE = 255;
    private static final int MOST_SHORT = 65_535;
    /** Limits travel in these steps: whole ones would pull an average down. */
    private static final double LIMIT_STEPS = 64;

    private static final int AGE_STEP_MS = 50;

    private PeerMessageCodec() {}

    /** A part of an object that nobody told. */
    static final int NO_PART = MOST_BYTE;

    /** What is to be told of the nodes at which attempts are in hand. */
    static List<EndpointLoad> loads(List<Endpoint> nodes) {
        return nodes.stream()
                .filter(node -> node.ownInFlight > 0)
                .map(node -> new EndpointLoad(node.id, node.ownInFlight, node.concurrencyLimit))
                .toList();
    }

    /** As many messages as the fills sent and the holders need; each repeats the loads, which never fill one. */
    static List<byte[]> encode(PeerMessage message) {
        List<byte[]> messages = new ArrayList<>();
        List<EndpointLoad> loads =
                message.loads().subList(0, Math.min(message.loads().size(), MOST_LOADS));
        int room = (MOST_BYTES - HEAD_BYTES - loads.size() * LOAD_BYTES) / HOLDER_BYTES;
        List<HolderHint> all = new ArrayList<>(message.fillsStarted());
        all.addAll(message.holders());
        int from = 0;
        do {
            int to = Math.min(all.size(), from + room);
            int sent = Math.max(0, Math.min(to, message.fillsStarted().size()) - from);
            messages.add(one(message, loads, sent, all.subList(from, to)));
            from = to;
        } while (from < all.size());
        return messages;
    }

    private static byte[] one(PeerMessage message, List<EndpointLoad> loads, int sent, List<HolderHint> holders) {
        ByteBuffer at = ByteBuffer.allocate(HEAD_BYTES + loads.size() * LOAD_BYTES + holders.size() * HOLDER_BYTES);
        at.put(VERSION).putShort((short) message.zone()).putLong(message.sentAtUs());
        at.put(small(message.fillsInFlight())).putShort(steps(message.fillLimit()));
        at.put(small(Math.max(0, Math.min(1, message.originLateRatio())) * MOST_BYTE));
        at.put((byte) sent).put((byte) loads.size());
        for (EndpointLoad load : loads) {
            node(at, load.endpointId());
            at.put(small(load.inFlight())).putShort(steps(load.concurrencyLimit()));
        }
        for (HolderHint holder : holders) {
            at.putLong(holder.objectId());
            node(at, holder.endpointId());
            // Ages are rounded up: what was told before a purge must not seem to come after it.
            at.putShort((short) holder.group())
                    .put(small(Math.ceil((double) holder.ageMs() / AGE_STEP_MS)))
                    .put(small(holder.part()));
        }
        return at.array();
    }

    private static byte small(double value) {
        return (byte) Math.min(MOST_BYTE, Math.round(value));
    }

    private static short steps(double limit) {
        return (short) Math.min(MOST_SHORT, Math.round(limit * LIMIT_STEPS));
    }

    private static double steps(ByteBuffer at) {
        return Short.toUnsignedInt(at.getShort()) / LIMIT_STEPS;
    }

    private static void node(ByteBuffer at, long node) {
        at.putInt((int) (node >>> NODE_PORT_BITS)).putShort((short) node);
    }

    private static long node(ByteBuffer at) {
        long address = Integer.toUnsignedLong(at.getInt());
        return address << NODE_PORT_BITS | Short.toUnsignedLong(at.getShort());
    }

    /** The message, or null where the bytes are none of ours: another version, or a length that is off. */
    static PeerMessage decode(byte[] bytes) {
        ByteBuffer at = ByteBuffer.wrap(bytes);
        byte version = bytes.length > 0 ? at.get() : 0;
        // Version 3, of the release before, tells of no fills sent and of no parts: its head is a byte shorter.
        int head = version == VERSION ? HEAD_BYTES : HEAD_BYTES - 1;
        if (bytes.length < head || bytes.length > MOST_BYTES || version != VERSION && version != VERSION - 1) {
            return null;
        }
        int zone = Short.toUnsignedInt(at.getShort());
        long clock = at.getLong();
        int fills = Byte.toUnsignedInt(at.get());
        double fillLimit = steps(at);
        double originLate = Byte.toUnsignedInt(at.get()) / (double) MOST_BYTE;
        int sent = version == VERSION ? Byte.toUnsignedInt(at.get()) : 0;
        int count = Byte.toUnsignedInt(at.get());
        int rest = bytes.length - head - count * LOAD_BYTES;
        if (rest < sent * HOLDER_BYTES || rest % HOLDER_BYTES != 0) {
            return null;
        }
        List<EndpointLoad> loads = new ArrayList<>();
        while (loads.size() < count) {
            loads.add(new EndpointLoad(node(at), Byte.toUnsignedInt(at.get()), steps(at)));
        }
        List<HolderHint> holders = new ArrayList<>();
        while (at.hasRemaining()) {
            holders.add(holder(at, version));
        }
        return new PeerMessage(
                zone,
                clock,
                fills,
                fillLimit,
                originLate,
                loads,
                holders.subList(0, sent),
                holders.subList(sent, holders.size()));
    }

    private static HolderHint holder(ByteBuffer at, byte version) {
        long object = at.getLong();
        long node = node(at);
        int group = Short.toUnsignedInt(at.getShort());
        int age = version == VERSION ? AGE_STEP_MS * Byte.toUnsignedInt(at.get()) : Short.toUnsignedInt(at.getShort());
        return new HolderHint(object, version == VERSION ? Byte.toUnsignedInt(at.get()) : NO_PART, node, group, age);
    }
}
