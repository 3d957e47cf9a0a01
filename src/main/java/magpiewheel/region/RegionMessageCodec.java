package magpiewheel.region;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Encodes and decodes the messages of the region protocol, each of at most 256 bytes. */
final class RegionMessageCodec {
    static final int MAX_MESSAGE_BYTES = 256;
    /** The first byte of each message; no other protocol between routers uses it. */
    static final byte MAGIC = (byte) 0xe1;
    /** Maximum number of parent reports in a vote. */
    static final int MAX_REPORTS = 9;

    static final int MAX_HOT_OBJECTS = 4;
    static final int MAX_LOADS = 7;
    static final int MAX_CLAIMS = 3;
    private static final int LEASE_REQUEST = 1;
    private static final int VOTE = 2;
    private static final int SUSPICION = 3;
    private static final int DIRECTORY_UPDATE = 4;
    private static final int MAX_BYTE = 255;
    private static final long RESPONDED_STEP_US = 20_000;

    private RegionMessageCodec() {}

    static byte[] encode(RegionMessage message) {
        ByteBuffer buffer = ByteBuffer.allocate(MAX_MESSAGE_BYTES);
        int kind = message instanceof RegionMessage.LeaseRequest
                ? LEASE_REQUEST
                : message instanceof RegionMessage.Vote
                        ? VOTE
                        : message instanceof RegionMessage.Suspicion ? SUSPICION : DIRECTORY_UPDATE;
        buffer.put(MAGIC).put((byte) kind);
        buffer.putInt(message.header().regionKey())
                .putLong(message.header().term())
                .putLong(message.header().startedMs());
        if (message instanceof RegionMessage.LeaseRequest request) {
            buffer.putLong(request.leader())
                    .putLong(request.sentAt())
                    .putLong(request.echoedVoteAt())
                    .putInt(toInt(request.remainingUs()));
            buffer.putLong(request.leadingForUs())
                    .putLong(request.placement().spillParent())
                    .put((byte) request.placement().slice());
            List<Long> hotObjects = first(request.placement().hotObjects(), MAX_HOT_OBJECTS);
            buffer.put((byte) hotObjects.size());
            hotObjects.forEach(buffer::putLong);
        } else if (message instanceof RegionMessage.Vote vote) {
            buffer.put((byte) (vote.granted() ? 1 : 0))
                    .putShort((short) vote.zone())
                    .putLong(vote.votedAt())
                    .putLong(vote.requestSentAt());
            buffer.putLong(vote.votedTerm())
                    .putFloat((float) vote.sentPerS())
                    .putLong(vote.hotObject())
                    .putFloat((float) vote.hotSentPerS());
            List<RegionMessage.ParentReport> reports = first(vote.reports(), MAX_REPORTS);
            buffer.put((byte) reports.size());
            for (RegionMessage.ParentReport report : reports) {
                buffer.putLong(report.parent())
                        .putInt(toInt(report.firstByteUs()))
                        .put(toByte(report.failureRatio()));
                buffer.put(toByte(report.freeLinkShare())).put(toByte(report.hitRatio()));
                buffer.put((byte) Math.min(MAX_BYTE, report.samples())).putInt(toInt(report.silentUs()));
                buffer.put((byte) Math.min(MAX_BYTE, report.respondedAgoUs() / RESPONDED_STEP_US));
            }
        } else if (message instanceof RegionMessage.Suspicion suspicion) {
            buffer.putLong(suspicion.leader())
                    .putInt(toInt(suspicion.silentUs()))
                    .put((byte) Math.min(MAX_BYTE, suspicion.overdue()));
        } else if (message instanceof RegionMessage.DirectoryUpdate update) {
            buffer.put((byte) update.loads().size()).put((byte) update.claims().size());
            for (RegionMessage.ZoneLoad load : update.loads()) {
                buffer.putShort((short) load.zone()).putLong(load.version()).putFloat((float) load.load());
                buffer.put((byte) load.homeSlot());
            }
            for (RegionMessage.LeadershipClaim claim : update.claims()) {
                buffer.putInt(claim.regionKey()).putLong(claim.term()).putLong(claim.leader());
                buffer.putFloat((float) claim.load()).putInt(toInt(claim.agoUs()));
            }
        }
        return Arrays.copyOf(buffer.array(), buffer.position());
    }

    /** Returns the decoded message, or null if the bytes are not a valid message. */
    static RegionMessage decode(byte[] bytes) {
        if (bytes.length > MAX_MESSAGE_BYTES || bytes.length < 2 || bytes[0] != MAGIC) {
            return null;
        }
        ByteBuffer buffer = ByteBuffer.wrap(bytes).position(1);
        try {
            int kind = buffer.get();
            RegionMessage.Header header = new RegionMessage.Header(buffer.getInt(), buffer.getLong(), buffer.getLong());
            RegionMessage message = switch (kind) {
                case LEASE_REQUEST -> leaseRequest(header, buffer);
                case VOTE -> vote(header, buffer);
                case SUSPICION ->
                    new RegionMessage.Suspicion(
                            header, buffer.getLong(), buffer.getInt(), Byte.toUnsignedInt(buffer.get()));
                case DIRECTORY_UPDATE -> directoryUpdate(header, buffer);
                default -> null;
            };
            return buffer.hasRemaining() ? null : message;
        } catch (BufferUnderflowException truncatedOrInvalid) {
            return null;
        }
    }

    private static RegionMessage.LeaseRequest leaseRequest(RegionMessage.Header header, ByteBuffer buffer) {
        long leader = buffer.getLong();
        long sentAt = buffer.getLong();
        long echoedVoteAt = buffer.getLong();
        long remainingUs = buffer.getInt();
        long leadingForUs = buffer.getLong();
        long spillParent = buffer.getLong();
        int slice = Byte.toUnsignedInt(buffer.get());
        List<Long> hotObjects = new ArrayList<>();
        for (int i = Byte.toUnsignedInt(buffer.get()); i > 0; i--) {
            hotObjects.add(buffer.getLong());
        }
        return new RegionMessage.LeaseRequest(
                header,
                leader,
                sentAt,
                echoedVoteAt,
                remainingUs,
                leadingForUs,
                new RegionMessage.Placement(spillParent, slice, hotObjects));
    }

    private static RegionMessage.Vote vote(RegionMessage.Header header, ByteBuffer buffer) {
        boolean granted = buffer.get() == 1;
        int zone = Short.toUnsignedInt(buffer.getShort());
        long votedAt = buffer.getLong();
        long requestSentAt = buffer.getLong();
        long votedTerm = buffer.getLong();
        double sentPerS = amount(buffer);
        long hotObject = buffer.getLong();
        double hotSentPerS = amount(buffer);
        List<RegionMessage.ParentReport> reports = new ArrayList<>();
        for (int i = Byte.toUnsignedInt(buffer.get()); i > 0; i--) {
            reports.add(new RegionMessage.ParentReport(
                    buffer.getLong(),
                    buffer.getInt(),
                    fromByte(buffer),
                    fromByte(buffer),
                    fromByte(buffer),
                    Byte.toUnsignedInt(buffer.get()),
                    buffer.getInt(),
                    Byte.toUnsignedInt(buffer.get()) * RESPONDED_STEP_US));
        }
        return new RegionMessage.Vote(
                header, granted, zone, votedAt, requestSentAt, votedTerm, sentPerS, hotObject, hotSentPerS, reports);
    }

    private static RegionMessage.DirectoryUpdate directoryUpdate(RegionMessage.Header header, ByteBuffer buffer) {
        int loadCount = Byte.toUnsignedInt(buffer.get());
        int claimCount = Byte.toUnsignedInt(buffer.get());
        List<RegionMessage.ZoneLoad> loads = new ArrayList<>();
        for (int i = 0; i < loadCount; i++) {
            loads.add(new RegionMessage.ZoneLoad(
                    Short.toUnsignedInt(buffer.getShort()), buffer.getLong(), amount(buffer), buffer.get()));
        }
        List<RegionMessage.LeadershipClaim> claims = new ArrayList<>();
        for (int i = 0; i < claimCount; i++) {
            claims.add(new RegionMessage.LeadershipClaim(
                    buffer.getInt(), buffer.getLong(), buffer.getLong(), amount(buffer), buffer.getInt()));
        }
        return new RegionMessage.DirectoryUpdate(header, loads, claims);
    }

    private static <T> List<T> first(List<T> list, int limit) {
        return list.subList(0, Math.min(limit, list.size()));
    }

    private static byte toByte(double fraction) {
        return (byte) Math.round(Math.max(0, Math.min(1, fraction)) * MAX_BYTE);
    }

    private static double fromByte(ByteBuffer buffer) {
        return Byte.toUnsignedInt(buffer.get()) / (double) MAX_BYTE;
    }

    /** Reads a measured amount. Any value that is negative or not finite makes the message malformed. */
    private static double amount(ByteBuffer buffer) {
        float amount = buffer.getFloat();
        if (!Float.isFinite(amount) || amount < 0) {
            throw new BufferUnderflowException();
        }
        return amount;
    }

    private static int toInt(long us) {
        return (int) Math.max(0, Math.min(Integer.MAX_VALUE, us));
    }
}
