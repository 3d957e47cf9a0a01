package magpiewheel.membership;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * A datagram of the membership: a header in which the sender speaks of itself, then updates or digests.
 *
 * @param hearsReceiver whether the sender hears the member that it writes to
 * @param wantsReply whether the sender wants an answer
 * @param verdict what the sender thinks of its own view
 * @param sentAtUs when it was sent, by the sender's clock
 * @param heartbeatMs from one heartbeat of the sender to the next
 * @param digest the digest of the sender's table
 * @param bucketDigests the digests of its buckets; empty in messages of updates
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
    /** What follows the header. */
    enum Kind {
        UPDATES,
        BUCKET_DIGESTS
    }

    /** The largest datagram. */
    static final int MAX_MESSAGE_BYTES = 256;
    /** Parts of a table that are compared by digest. */
    static final int BUCKETS = 32;

    static final int HEADER_BYTES = 32;
    static final int UPDATE_BYTES = 14;
    static final int SUSPECT_BYTES = 6;
    static final int PROOF_BYTES = 6;
    private static final byte MARK = 0x4d;
    private static final byte VERSION = 1;
    private static final int HEARS_RECEIVER = 1;
    private static final int WANTS_REPLY = 2;
    private static final int HAS_BUCKETS = 4;
    private static final int STATUS_BITS = 3;
    private static final int PROVEN = 0x80;
    private static final long AGE_STEP_US = 10_000;
    private static final int MAX_SHORT = 0xffff;
    private static final long MAX_SIX_BYTES = 0xffff_ffff_ffffL;

    /** Whether bytes are a message of the membership, of whatever version. */
    static boolean isMembershipMessage(byte[] bytes) {
        return bytes.length >= 2 && bytes[0] == MARK;
    }

    /** The encoded size of an update. */
    static int bytes(MemberUpdate update) {
        return UPDATE_BYTES
                + (update.status() == MemberStatus.SUSPECT ? SUSPECT_BYTES : 0)
                + (update.unreachableProvenMs() > 0 ? PROOF_BYTES : 0);
    }

    byte[] encode() {
        int size = HEADER_BYTES + (kind == Kind.BUCKET_DIGESTS ? BUCKETS * Integer.BYTES : 0);
        for (MemberUpdate update : updates) {
            size += bytes(update);
        }
        ByteBuffer buffer = ByteBuffer.allocate(size);
        int flags = (hearsReceiver ? HEARS_RECEIVER : 0)
                | (wantsReply ? WANTS_REPLY : 0)
                | (kind == Kind.BUCKET_DIGESTS ? HAS_BUCKETS : 0);
        buffer.put(MARK)
                .put(VERSION)
                .put((byte) flags)
                .put((byte) (sender.status().ordinal() | verdict.ordinal() << STATUS_BITS))
                .putShort((short) sender.memberId());
        sixBytes(buffer, sender.incarnation());
        buffer.put((byte) sender.zone())
                .putInt(sender.address())
                .putLong(sentAtUs)
                .putShort((short) Math.min(MAX_SHORT, heartbeatMs))
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
                .put((byte) (update.status().ordinal() | (update.unreachableProvenMs() > 0 ? PROVEN : 0)));
        sixBytes(buffer, update.incarnation());
        buffer.put((byte) update.zone()).putInt(update.address());
        if (update.status() == MemberStatus.SUSPECT) {
            buffer.putShort((short) update.firstAccuser())
                    .putShort((short) update.secondAccuser())
                    .putShort((short) Math.min(MAX_SHORT, update.suspectedForUs() / AGE_STEP_US));
        }
        if (update.unreachableProvenMs() > 0) {
            sixBytes(buffer, update.unreachableProvenMs());
        }
    }

    private static void sixBytes(ByteBuffer buffer, long value) {
        long clamped = Math.max(0, Math.min(MAX_SIX_BYTES, value));
        buffer.putShort((short) (clamped >>> Integer.SIZE)).putInt((int) clamped);
    }

    private static long sixBytes(ByteBuffer buffer) {
        long high = Short.toUnsignedLong(buffer.getShort());
        return high << Integer.SIZE | Integer.toUnsignedLong(buffer.getInt());
    }

    /** The message of a member of this number; null where the bytes are none, or another version's. */
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
        if (!areFlags(flags) || !isState(state) || Short.toUnsignedInt(buffer.getShort()) != from) {
            // A number other than the sender's: the settings of the two differ, and it must not speak for another.
            return null;
        }
        MemberStatus status = MemberStatus.values()[state & (1 << STATUS_BITS) - 1];
        long incarnation = sixBytes(buffer);
        int zone = Byte.toUnsignedInt(buffer.get());
        MemberUpdate sender = MemberUpdate.ofSelf(from, status, incarnation, zone, buffer.getInt());
        long sentAtUs = buffer.getLong();
        int heartbeatMs = Short.toUnsignedInt(buffer.getShort());
        int digest = buffer.getInt();
        int count = Byte.toUnsignedInt(buffer.get());
        boolean hasBuckets = (flags & HAS_BUCKETS) != 0;
        int[] bucketDigests = new int[hasBuckets ? BUCKETS : 0];
        if (incarnation == 0
                || heartbeatMs == 0
                || sentAtUs < 0
                || buffer.remaining() < bucketDigests.length * Integer.BYTES) {
            return null;
        }
        for (int i = 0; i < bucketDigests.length; i++) {
            bucketDigests[i] = buffer.getInt();
        }
        List<MemberUpdate> updates = updates(buffer);
        return updates == null || updates.size() != count
                ? null
                : new MembershipMessage(
                        hasBuckets ? Kind.BUCKET_DIGESTS : Kind.UPDATES,
                        sender,
                        (flags & HEARS_RECEIVER) != 0,
                        (flags & WANTS_REPLY) != 0,
                        PartitionVerdict.values()[state >>> STATUS_BITS],
                        sentAtUs,
                        heartbeatMs,
                        digest,
                        updates,
                        bucketDigests);
    }

    private static boolean areFlags(int flags) {
        return flags >= 0 && flags <= (HEARS_RECEIVER | WANTS_REPLY | HAS_BUCKETS);
    }

    /** Whether a verdict is known, and the status one that a member says of itself: it joins, serves or leaves. */
    private static boolean isState(int state) {
        int status = state & (1 << STATUS_BITS) - 1;
        boolean ofItself = status == MemberStatus.JOINING.ordinal()
                || status == MemberStatus.ALIVE.ordinal()
                || status == MemberStatus.LEFT.ordinal();
        return state >= 0 && state >>> STATUS_BITS < PartitionVerdict.values().length && ofItself;
    }

    /** The updates to the end of a message; null where they are malformed. */
    private static List<MemberUpdate> updates(ByteBuffer buffer) {
        List<MemberUpdate> updates = new ArrayList<>();
        while (buffer.hasRemaining()) {
            MemberUpdate update = buffer.remaining() < UPDATE_BYTES ? null : update(buffer);
            if (update == null) {
                return null;
            }
            updates.add(update);
        }
        return updates;
    }

    private static MemberUpdate update(ByteBuffer buffer) {
        int memberId = Short.toUnsignedInt(buffer.getShort());
        int state = Byte.toUnsignedInt(buffer.get());
        boolean proven = (state & PROVEN) != 0;
        int status = state & ~PROVEN;
        long incarnation = sixBytes(buffer);
        int zone = Byte.toUnsignedInt(buffer.get());
        int address = buffer.getInt();
        boolean suspect = status == MemberStatus.SUSPECT.ordinal();
        int moreBytes = (suspect ? SUSPECT_BYTES : 0) + (proven ? PROOF_BYTES : 0);
        if (status == 0 || status >= MemberStatus.values().length || buffer.remaining() < moreBytes) {
            return null;
        }
        int firstAccuser = suspect ? Short.toUnsignedInt(buffer.getShort()) : MemberUpdate.NO_MEMBER;
        int secondAccuser = suspect ? Short.toUnsignedInt(buffer.getShort()) : MemberUpdate.NO_MEMBER;
        long suspectedForUs = suspect ? Short.toUnsignedLong(buffer.getShort()) * AGE_STEP_US : 0;
        return new MemberUpdate(
                memberId,
                MemberStatus.values()[status],
                incarnation,
                zone,
                address,
                firstAccuser,
                secondAccuser,
                suspectedForUs,
                proven ? sixBytes(buffer) : 0);
    }
}
