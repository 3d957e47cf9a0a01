package magpiewheel.routing;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/** Encodes the reports between the routers of a zone: a header, then loads, fills that were started, and holders. */
final class PeerMessageCodec {
    /** The largest message. */
    static final int MAX_MESSAGE_BYTES = 256;

    private static final byte VERSION = 4;
    private static final int HEAD_BYTES = 17;
    private static final int LOAD_BYTES = 9;
    private static final int HOLDER_BYTES = 18;
    /** Loads leave space for one holder. */
    private static final int MAX_LOADS = (MAX_MESSAGE_BYTES - HEAD_BYTES - HOLDER_BYTES) / LOAD_BYTES;

    private static final int PORT_BITS = 16;
    private static final int MAX_BYTE = 255;
    private static final int MAX_SHORT = 65_535;
    /** Limits are encoded in these steps: whole numbers would pull an average down. */
    private static final double LIMIT_STEPS = 64;

    private static final int AGE_STEP_MS = 50;

    private PeerMessageCodec() {}

    /** An unknown part of an object. */
    static final int NO_PART = MAX_BYTE;

    /** The loads of the caches at which attempts are in flight. */
    static List<EndpointLoad> loads(List<Endpoint> caches) {
        return caches.stream()
                .filter(endpointId -> endpointId.ownInFlight > 0)
                .map(endpointId -> new EndpointLoad(endpointId.id, endpointId.ownInFlight, endpointId.concurrencyLimit))
                .toList();
    }

    /** As many messages as the fills and holders need; each repeats the loads, which leave space for a holder. */
    static List<byte[]> encode(PeerMessage message) {
        List<byte[]> messages = new ArrayList<>();
        List<EndpointLoad> loads =
                message.loads().subList(0, Math.min(message.loads().size(), MAX_LOADS));
        int holdersPerMessage = (MAX_MESSAGE_BYTES - HEAD_BYTES - loads.size() * LOAD_BYTES) / HOLDER_BYTES;
        List<HolderHint> all = new ArrayList<>(message.fillsStarted());
        all.addAll(message.holders());
        int from = 0;
        do {
            int to = Math.min(all.size(), from + holdersPerMessage);
            int sent = Math.max(0, Math.min(to, message.fillsStarted().size()) - from);
            messages.add(encodeOne(message, loads, sent, all.subList(from, to)));
            from = to;
        } while (from < all.size());
        return messages;
    }

    private static byte[] encodeOne(PeerMessage message, List<EndpointLoad> loads, int sent, List<HolderHint> holders) {
        ByteBuffer buffer = ByteBuffer.allocate(HEAD_BYTES + loads.size() * LOAD_BYTES + holders.size() * HOLDER_BYTES);
        buffer.put(VERSION).putShort((short) message.zone()).putLong(message.sentAtUs());
        buffer.put(toByte(message.fillsInFlight())).putShort(steps(message.fillLimit()));
        buffer.put(toByte(Math.max(0, Math.min(1, message.originLateRatio())) * MAX_BYTE));
        buffer.put((byte) sent).put((byte) loads.size());
        for (EndpointLoad load : loads) {
            endpointId(buffer, load.endpointId());
            buffer.put(toByte(load.inFlight())).putShort(steps(load.concurrencyLimit()));
        }
        for (HolderHint holder : holders) {
            buffer.putLong(holder.objectId());
            endpointId(buffer, holder.endpointId());
            // Ages are rounded up: what was reported before a purge must not seem to come after it.
            buffer.putShort((short) holder.group())
                    .put(toByte(Math.ceil((double) holder.ageMs() / AGE_STEP_MS)))
                    .put(toByte(holder.part()));
        }
        return buffer.array();
    }

    private static byte toByte(double value) {
        return (byte) Math.min(MAX_BYTE, Math.round(value));
    }

    private static short steps(double limit) {
        return (short) Math.min(MAX_SHORT, Math.round(limit * LIMIT_STEPS));
    }

    private static double steps(ByteBuffer buffer) {
        return Short.toUnsignedInt(buffer.getShort()) / LIMIT_STEPS;
    }

    private static void endpointId(ByteBuffer buffer, long endpointId) {
        buffer.putInt((int) (endpointId >>> PORT_BITS)).putShort((short) endpointId);
    }

    private static long endpointId(ByteBuffer buffer) {
        long address = Integer.toUnsignedLong(buffer.getInt());
        return address << PORT_BITS | Short.toUnsignedLong(buffer.getShort());
    }

    /** The message, or null where the bytes are not one: of another version, or with a wrong length. */
    static PeerMessage decode(byte[] bytes) {
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        byte version = bytes.length > 0 ? buffer.get() : 0;
        // Version 3, of the release before, has neither fills nor parts: its header is a byte shorter.
        int head = version == VERSION ? HEAD_BYTES : HEAD_BYTES - 1;
        if (bytes.length < head || bytes.length > MAX_MESSAGE_BYTES || version != VERSION && version != VERSION - 1) {
            return null;
        }
        int zone = Short.toUnsignedInt(buffer.getShort());
        long clock = buffer.getLong();
        int fills = Byte.toUnsignedInt(buffer.get());
        double fillLimit = steps(buffer);
        double originLate = Byte.toUnsignedInt(buffer.get()) / (double) MAX_BYTE;
        int sent = version == VERSION ? Byte.toUnsignedInt(buffer.get()) : 0;
        int count = Byte.toUnsignedInt(buffer.get());
        int rest = bytes.length - head - count * LOAD_BYTES;
        if (rest < sent * HOLDER_BYTES || rest % HOLDER_BYTES != 0) {
            return null;
        }
        List<EndpointLoad> loads = new ArrayList<>();
        while (loads.size() < count) {
            loads.add(new EndpointLoad(endpointId(buffer), Byte.toUnsignedInt(buffer.get()), steps(buffer)));
        }
        List<HolderHint> holders = new ArrayList<>();
        while (buffer.hasRemaining()) {
            holders.add(holder(buffer, version));
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

    private static HolderHint holder(ByteBuffer buffer, byte version) {
        long objectId = buffer.getLong();
        long endpointId = endpointId(buffer);
        int group = Short.toUnsignedInt(buffer.getShort());
        int age = version == VERSION
                ? AGE_STEP_MS * Byte.toUnsignedInt(buffer.get())
                : Short.toUnsignedInt(buffer.getShort());
        return new HolderHint(
                objectId, version == VERSION ? Byte.toUnsignedInt(buffer.get()) : NO_PART, endpointId, group, age);
    }
}
