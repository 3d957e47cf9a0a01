package magpiewheel.routing;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * Encodes and decodes the reports between the routers of a zone: a header, then loads, fills that were started, and
 * holders.
 */
final class PeerMessageCodec {
    /** Maximum size of a message. */
    static final int MAX_MESSAGE_BYTES = 256;

    private static final byte VERSION = 4;
    private static final int HEADER_BYTES = 17;
    private static final int LOAD_BYTES = 9;
    private static final int HINT_BYTES = 18;
    /** Maximum number of loads in a message; it leaves space for one hint. */
    private static final int MAX_LOADS = (MAX_MESSAGE_BYTES - HEADER_BYTES - HINT_BYTES) / LOAD_BYTES;

    private static final int PORT_BITS = 16;
    private static final int MAX_BYTE = 255;
    private static final int MAX_SHORT = 65_535;
    /**
     * Limits are encoded as multiples of 1/64: truncated to whole numbers, they would lower the average of the zone.
     */
    private static final double LIMIT_STEPS_PER_UNIT = 64;

    private static final int AGE_STEP_MS = 50;

    private PeerMessageCodec() {}

    /** Part number of a hint whose part is unknown. */
    static final int UNKNOWN_PART = MAX_BYTE;

    /** Returns the loads of the caches at which this router has attempts in flight. */
    static List<EndpointLoad> loads(List<Endpoint> caches) {
        return caches.stream()
                .filter(endpoint -> endpoint.ownInFlight > 0)
                .map(endpoint -> new EndpointLoad(endpoint.id, endpoint.ownInFlight, endpoint.concurrencyLimit))
                .toList();
    }

    /** Encodes a report as the number of datagrams that its fills and holders need; each repeats the loads. */
    static List<byte[]> encode(PeerMessage message) {
        List<byte[]> messages = new ArrayList<>();
        List<EndpointLoad> loads =
                message.loads().subList(0, Math.min(message.loads().size(), MAX_LOADS));
        int hintsPerMessage = (MAX_MESSAGE_BYTES - HEADER_BYTES - loads.size() * LOAD_BYTES) / HINT_BYTES;
        List<HolderHint> hints = new ArrayList<>(message.fillsStarted());
        hints.addAll(message.holders());
        int from = 0;
        do {
            int to = Math.min(hints.size(), from + hintsPerMessage);
            int fillCount = Math.max(0, Math.min(to, message.fillsStarted().size()) - from);
            messages.add(encodeDatagram(message, loads, fillCount, hints.subList(from, to)));
            from = to;
        } while (from < hints.size());
        return messages;
    }

    private static byte[] encodeDatagram(
            PeerMessage message, List<EndpointLoad> loads, int fillCount, List<HolderHint> holders) {
        ByteBuffer buffer = ByteBuffer.allocate(HEADER_BYTES + loads.size() * LOAD_BYTES + holders.size() * HINT_BYTES);
        buffer.put(VERSION).putShort((short) message.zone()).putLong(message.sentAtUs());
        buffer.put(toByte(message.fillsInFlight())).putShort(encodeLimit(message.fillLimit()));
        buffer.put(toByte(Math.max(0, Math.min(1, message.originLateRatio())) * MAX_BYTE));
        buffer.put((byte) fillCount).put((byte) loads.size());
        for (EndpointLoad load : loads) {
            putEndpointId(buffer, load.endpointId());
            buffer.put(toByte(load.inFlight())).putShort(encodeLimit(load.concurrencyLimit()));
        }
        for (HolderHint holder : holders) {
            buffer.putLong(holder.objectId());
            putEndpointId(buffer, holder.endpointId());
            // Ages are rounded up: a copy seen before a purge must not appear to be newer than the purge.
            buffer.putShort((short) holder.group())
                    .put(toByte(Math.ceil((double) holder.ageMs() / AGE_STEP_MS)))
                    .put(toByte(holder.part()));
        }
        return buffer.array();
    }

    private static byte toByte(double value) {
        return (byte) Math.min(MAX_BYTE, Math.round(value));
    }

    private static short encodeLimit(double limit) {
        return (short) Math.min(MAX_SHORT, Math.round(limit * LIMIT_STEPS_PER_UNIT));
    }

    private static double decodeLimit(ByteBuffer buffer) {
        return Short.toUnsignedInt(buffer.getShort()) / LIMIT_STEPS_PER_UNIT;
    }

    private static void putEndpointId(ByteBuffer buffer, long endpointId) {
        buffer.putInt((int) (endpointId >>> PORT_BITS)).putShort((short) endpointId);
    }

    private static long getEndpointId(ByteBuffer buffer) {
        long address = Integer.toUnsignedLong(buffer.getInt());
        return address << PORT_BITS | Short.toUnsignedLong(buffer.getShort());
    }

    /** Decodes a message; returns null if its version is unknown or its length is wrong. */
    static PeerMessage decode(byte[] bytes) {
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        byte version = bytes.length > 0 ? buffer.get() : 0;
        // Version 3, of the previous release, has neither fills nor parts: its header is one byte shorter.
        int headerBytes = version == VERSION ? HEADER_BYTES : HEADER_BYTES - 1;
        if (bytes.length < headerBytes
                || bytes.length > MAX_MESSAGE_BYTES
                || version != VERSION && version != VERSION - 1) {
            return null;
        }
        int zone = Short.toUnsignedInt(buffer.getShort());
        long sentAtUs = buffer.getLong();
        int fillsInFlight = Byte.toUnsignedInt(buffer.get());
        double fillLimit = decodeLimit(buffer);
        double originLateRatio = Byte.toUnsignedInt(buffer.get()) / (double) MAX_BYTE;
        int fillCount = version == VERSION ? Byte.toUnsignedInt(buffer.get()) : 0;
        int loadCount = Byte.toUnsignedInt(buffer.get());
        int hintBytes = bytes.length - headerBytes - loadCount * LOAD_BYTES;
        if (hintBytes < fillCount * HINT_BYTES || hintBytes % HINT_BYTES != 0) {
            return null;
        }
        List<EndpointLoad> loads = new ArrayList<>();
        while (loads.size() < loadCount) {
            loads.add(new EndpointLoad(getEndpointId(buffer), Byte.toUnsignedInt(buffer.get()), decodeLimit(buffer)));
        }
        List<HolderHint> holders = new ArrayList<>();
        while (buffer.hasRemaining()) {
            holders.add(decodeHint(buffer, version));
        }
        return new PeerMessage(
                zone,
                sentAtUs,
                fillsInFlight,
                fillLimit,
                originLateRatio,
                loads,
                holders.subList(0, fillCount),
                holders.subList(fillCount, holders.size()));
    }

    private static HolderHint decodeHint(ByteBuffer buffer, byte version) {
        long objectId = buffer.getLong();
        long endpointId = getEndpointId(buffer);
        int group = Short.toUnsignedInt(buffer.getShort());
        int ageMs = version == VERSION
                ? AGE_STEP_MS * Byte.toUnsignedInt(buffer.get())
                : Short.toUnsignedInt(buffer.getShort());
        return new HolderHint(
                objectId,
                version == VERSION ? Byte.toUnsignedInt(buffer.get()) : UNKNOWN_PART,
                endpointId,
                group,
                ageMs);
    }
}
