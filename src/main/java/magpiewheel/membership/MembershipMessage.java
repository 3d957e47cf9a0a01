package magpiewheel.membership;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * A membership datagram: a header with the sender's own state, then updates or bucket digests.
 *
 * @param hearsReceiver whether the sender hears the receiver
 * @param wantsReply whether the sender requests a reply
 * @param verdict the sender's verdict on its own view
 * @param sentAtUs send time by the sender's clock, in microseconds
 * @param heartbeatMs heartbeat interval of the sender, in milliseconds
 * @param digest digest of the sender's table
 * @param bucketDigests digests of the buckets of that table; empty in messages with updates
 */
record MembershipMessage(
        Kind kind,
        MemberUpdate sender,
        boolean hearsReceiver,
        boolean wantsReply,
        PartitionVerdict verdict,
        long sentAtUs,
        int heartbeatMs,
        int digest,
        List<MemberUpdate> updates,
        int[] bucketDigests) {
    /** Content that follows the header. */
    enum Kind {
        UPDATES,
        BUCKET_DIGESTS
    }

    /** Maximum size of a datagram. */
    static final int MAX_MESSAGE_BYTES = 256;
    /** Number of buckets of a table, which are compared by digest. */
    static final int BUCKETS = 32;

    static final int HEADER_BYTES = 32;
    static final int UPDATE_BYTES = 14;
    static final int SUSPECT_BYTES = 6;
    static final int PROOF_BYTES = 6;
    private static final byte MAGIC = 0x4d;
    private static final byte VERSION = 1;
    private static final int HEARS_RECEIVER = 1;
    private static final int WANTS_REPLY = 2;
    private static final int HAS_BUCKET_DIGESTS = 4;
    private static final int STATUS_BIT_COUNT = 3;
    private static final int PROOF_FLAG = 0x80;
    private static final long SUSPECTED_FOR_UNIT_US = 10_000;
    private static final int MAX_UINT16 = 0xffff;
    private static final long MAX_UINT48 = 0xffff_ffff_ffffL;

    /** Whether bytes are a membership message of any version. */
    static boolean isMembershipMessage(byte[] bytes) {
        return bytes.length >= 2 && bytes[0] == MAGIC;
    }

    /** Returns the encoded size of an update. */
    static int encodedBytes(MemberUpdate update) {
        return UPDATE_BYTES
                + (update.status() == MemberStatus.SUSPECT ? SUSPECT_BYTES : 0)
                + (update.unreachableProvenMs() > 0 ? PROOF_BYTES : 0);
    }

    byte[] encode() {
        int size = HEADER_BYTES + (kind == Kind.BUCKET_DIGESTS ? BUCKETS * Integer.BYTES : 0);
        for (MemberUpdate update : updates) {
            size += encodedBytes(update);
        }
        ByteBuffer buffer = ByteBuffer.allocate(size);
        int flags = (hearsReceiver ? HEARS_RECEIVER : 0)
                | (wantsReply ? WANTS_REPLY : 0)
                | (kind == Kind.BUCKET_DIGESTS ? HAS_BUCKET_DIGESTS : 0);
        buffer.put(MAGIC)
                .put(VERSION)
                .put((byte) flags)
                .put((byte) (sender.status().ordinal() | verdict.ordinal() << STATUS_BIT_COUNT))
                .putShort((short) sender.memberId());
        putUint48(buffer, sender.incarnation());
        buffer.put((byte) sender.zone())
                .putInt(sender.address())
                .putLong(sentAtUs)
                .putShort((short) Math.min(MAX_UINT16, heartbeatMs))
                .putInt(digest)
                .put((byte) updates.size());
        if (kind == Kind.BUCKET_DIGESTS) {
            for (int bucket : bucketDigests) {
                buffer.putInt(bucket);
            }
        }
        for (MemberUpdate update : updates) {
            putUpdate(buffer, update);
        }
        return buffer.array();
    }

    private static void putUpdate(ByteBuffer buffer, MemberUpdate update) {
        buffer.putShort((short) update.memberId())
                .put((byte) (update.status().ordinal() | (update.unreachableProvenMs() > 0 ? PROOF_FLAG : 0)));
        putUint48(buffer, update.incarnation());
        buffer.put((byte) update.zone()).putInt(update.address());
        if (update.status() == MemberStatus.SUSPECT) {
            buffer.putShort((short) update.firstAccuser())
                    .putShort((short) update.secondAccuser())
                    .putShort((short) Math.min(MAX_UINT16, update.suspectedForUs() / SUSPECTED_FOR_UNIT_US));
        }
        if (update.unreachableProvenMs() > 0) {
            putUint48(buffer, update.unreachableProvenMs());
        }
    }

    private static void putUint48(ByteBuffer buffer, long value) {
        long clamped = Math.max(0, Math.min(MAX_UINT48, value));
        buffer.putShort((short) (clamped >>> Integer.SIZE)).putInt((int) clamped);
    }

    private static long getUint48(ByteBuffer buffer) {
        long high = Short.toUnsignedLong(buffer.getShort());
        return high << Integer.SIZE | Integer.toUnsignedLong(buffer.getInt());
    }

    /** Decodes a message from the member with this number; returns null if it is malformed or of another version. */
    static MembershipMessage decode(int from, byte[] bytes) {
        if (!isMembershipMessage(bytes)
                || bytes[1] != VERSION
                || bytes.length < HEADER_BYTES
                || bytes.length > MAX_MESSAGE_BYTES) {
            return null;
        }
        ByteBuffer buffer = ByteBuffer.wrap(bytes, 2, bytes.length - 2);
        int flags = buffer.get();
        int state = buffer.get();
        if (!areValidFlags(flags) || !isValidState(state) || Short.toUnsignedInt(buffer.getShort()) != from) {
            // The number is not the sender's: the settings of the two differ, and it must not speak for another member.
            return null;
        }
        MemberStatus status = MemberStatus.values()[state & (1 << STATUS_BIT_COUNT) - 1];
        long incarnation = getUint48(buffer);
        int zone = Byte.toUnsignedInt(buffer.get());
        MemberUpdate sender = MemberUpdate.ofSelf(from, status, incarnation, zone, buffer.getInt());
        long sentAtUs = buffer.getLong();
        int heartbeatMs = Short.toUnsignedInt(buffer.getShort());
        int digest = buffer.getInt();
        int count = Byte.toUnsignedInt(buffer.get());
        boolean hasBucketDigests = (flags & HAS_BUCKET_DIGESTS) != 0;
        int[] bucketDigests = new int[hasBucketDigests ? BUCKETS : 0];
        if (incarnation == 0
                || heartbeatMs == 0
                || sentAtUs < 0
                || buffer.remaining() < bucketDigests.length * Integer.BYTES) {
            return null;
        }
        for (int i = 0; i < bucketDigests.length; i++) {
            bucketDigests[i] = buffer.getInt();
        }
        List<MemberUpdate> updates = readUpdates(buffer);
        return updates == null || updates.size() != count
                ? null
                : new MembershipMessage(
                        hasBucketDigests ? Kind.BUCKET_DIGESTS : Kind.UPDATES,
                        sender,
                        (flags & HEARS_RECEIVER) != 0,
                        (flags & WANTS_REPLY) != 0,
                        PartitionVerdict.values()[state >>> STATUS_BIT_COUNT],
                        sentAtUs,
                        heartbeatMs,
                        digest,
                        updates,
                        bucketDigests);
    }

    private static boolean areValidFlags(int flags) {
        return flags >= 0 && flags <= (HEARS_RECEIVER | WANTS_REPLY | HAS_BUCKET_DIGESTS);
    }

    /**
     * Whether the verdict is known, and the status is one that members report of themselves: joining, alive or left.
     */
    private static boolean isValidState(int state) {
        int status = state & (1 << STATUS_BIT_COUNT) - 1;
        boolean selfReported = status == MemberStatus.JOINING.ordinal()
                || status == MemberStatus.ALIVE.ordinal()
                || status == MemberStatus.LEFT.ordinal();
        return state >= 0 && state >>> STATUS_BIT_COUNT < PartitionVerdict.values().length && selfReported;
    }

    /** Reads the updates up to the end of a message; returns null if one is malformed. */
    private static List<MemberUpdate> readUpdates(ByteBuffer buffer) {
        List<MemberUpdate> updates = new ArrayList<>();
        while (buffer.hasRemaining()) {
            MemberUpdate update = buffer.remaining() < UPDATE_BYTES ? null : readUpdate(buffer);
            if (update == null) {
                return null;
            }
            updates.add(update);
        }
        return updates;
    }

    private static MemberUpdate readUpdate(ByteBuffer buffer) {
        int memberId = Short.toUnsignedInt(buffer.getShort());
        int state = Byte.toUnsignedInt(buffer.get());
        boolean proven = (state & PROOF_FLAG) != 0;
        int status = state & ~PROOF_FLAG;
        long incarnation = getUint48(buffer);
        int zone = Byte.toUnsignedInt(buffer.get());
        int address = buffer.getInt();
        boolean suspect = status == MemberStatus.SUSPECT.ordinal();
        int moreBytes = (suspect ? SUSPECT_BYTES : 0) + (proven ? PROOF_BYTES : 0);
        if (status == 0 || status >= MemberStatus.values().length || buffer.remaining() < moreBytes) {
            return null;
        }
        int firstAccuser = suspect ? Short.toUnsignedInt(buffer.getShort()) : MemberUpdate.NO_MEMBER;
        int secondAccuser = suspect ? Short.toUnsignedInt(buffer.getShort()) : MemberUpdate.NO_MEMBER;
        long suspectedForUs = suspect ? Short.toUnsignedLong(buffer.getShort()) * SUSPECTED_FOR_UNIT_US : 0;
        return new MemberUpdate(
                memberId,
                MemberStatus.values()[status],
                incarnation,
                zone,
                address,
                firstAccuser,
                secondAccuser,
                suspectedForUs,
                proven ? getUint48(buffer) : 0);
    }
}
