package magpiewheel.region;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Encodes the messages: 256 bytes at most. */
final class RegionMessageCodec {
    static final int MAX_MESSAGE_BYTES = 256;
    /** The first byte: no other protocol between routers begins with it. */
    static final byte MARK = (byte) 0xe1;
    /** Reports in a vote, at most. */
    static final int MAX_REPORTS = 9;

    static final int MAX_HOT_OBJECTS = 4;
    static final int MAX_LOADS = 7;
    static final int MAX_CLAIMS = 3;
    private static final int LEASE_REQUEST = 1;
    private static final int VOTE = 2;
    private static final int SUSPICION = 3;
    private static final int DIRECTORY_UPDATE = 4;
    private static final int MAX_BYTE = 255;
    private static final long ANSWERED_STEP_US = 20_000;

    private RegionMessageCodec() {}

    static byte[] encode(RegionMessage message) {
        ByteBuffer at = ByteBuffer.allocate(MAX_MESSAGE_BYTES);
        int kind = message instanceof RegionMessage.LeaseRequest
                ? LEASE_REQUEST
                : message instanceof RegionMessage.Vote
                        ? VOTE
                        : message instanceof RegionMessage.Suspicion ? SUSPICION : DIRECTORY_UPDATE;
        at.put(MARK).put((byte) kind);
        at.putInt(message.header().region())
                .putLong(message.header().term())
                .putLong(message.header().startedMs());
        if (message instanceof RegionMessage.LeaseRequest request) {
            at.putLong(request.leader())
                    .putLong(request.sentAt())
                    .putLong(request.echoedVoteAt())
                    .putInt(toInt(request.remainingUs()));
            at.putLong(request.leadingForUs())
                    .putLong(request.placement().second())
                    .put((byte) request.placement().slice());
            List<Long> hot = first(request.placement().hotObjects(), MAX_HOT_OBJECTS);
            at.put((byte) hot.size());
            hot.forEach(at::putLong);
        } else if (message instanceof RegionMessage.Vote vote) {
            at.put((byte) (vote.granted() ? 1 : 0))
                    .putShort((short) vote.zone())
                    .putLong(vote.votedAt())
                    .putLong(vote.requestSentAt());
            at.putLong(vote.votedTerm())
                    .putFloat((float) vote.sentPerS())
                    .putLong(vote.hotObject())
                    .putFloat((float) vote.hotSentPerS());
            List<RegionMessage.ParentReport> opinions = first(vote.reports(), MAX_REPORTS);
            at.put((byte) opinions.size());
            for (RegionMessage.ParentReport report : opinions) {
                at.putLong(report.parent()).putInt(toInt(report.firstByteUs())).put(toByte(report.failureRatio()));
                at.put(toByte(report.freeCapacity())).put(toByte(report.hitRatio()));
                at.put((byte) Math.min(MAX_BYTE, report.samples())).putInt(toInt(report.silentUs()));
                at.put((byte) Math.min(MAX_BYTE, report.answeredAgoUs() / ANSWERED_STEP_US));
            }
        } else if (message instanceof RegionMessage.Suspicion suspicion) {
            at.putLong(suspicion.leader()).putInt(toInt(suspicion.silentUs())).put((byte)
                    Math.min(MAX_BYTE, suspicion.overdue()));
        } else if (message instanceof RegionMessage.DirectoryUpdate update) {
            at.put((byte) update.loads().size()).put((byte) update.claims().size());
            for (RegionMessage.ZoneLoad load : update.loads()) {
                at.putShort((short) load.zone()).putLong(load.version()).putFloat((float) load.load());
                at.put((byte) load.homeSlot());
            }
            for (RegionMessage.LeadershipClaim claim : update.claims()) {
                at.putInt(claim.region()).putLong(claim.term()).putLong(claim.leader());
                at.putFloat((float) claim.load()).putInt(toInt(claim.agoUs()));
            }
        }
        return Arrays.copyOf(at.array(), at.position());
    }

    /** The message, or null where the bytes are none. */
    static RegionMessage decode(byte[] bytes) {
        if (bytes.length > MAX_MESSAGE_BYTES || bytes.length < 2 || bytes[0] != MARK) {
            return null;
        }
        ByteBuffer at = ByteBuffer.wrap(bytes).position(1);
        try {
            int kind = at.get();
            RegionMessage.Header header = new RegionMessage.Header(at.getInt(), at.getLong(), at.getLong());
            RegionMessage message = switch (kind) {
                case LEASE_REQUEST -> leaseRequest(header, at);
                case VOTE -> vote(header, at);
                case SUSPICION ->
                    new RegionMessage.Suspicion(header, at.getLong(), at.getInt(), Byte.toUnsignedInt(at.get()));
                case DIRECTORY_UPDATE -> directoryUpdate(header, at);
                default -> null;
            };
            return at.hasRemaining() ? null : message;
        } catch (BufferUnderflowException cutOffOrSpoilt) {
            return null;
        }
    }

    private static RegionMessage.LeaseRequest leaseRequest(RegionMessage.Header header, ByteBuffer at) {
        long leader = at.getLong();
        long clock = at.getLong();
        long echo = at.getLong();
        long remaining = at.getInt();
        long age = at.getLong();
        long second = at.getLong();
        int slice = Byte.toUnsignedInt(at.get());
        List<Long> hot = new ArrayList<>();
        for (int i = Byte.toUnsignedInt(at.get()); i > 0; i--) {
            hot.add(at.getLong());
        }
        return new RegionMessage.LeaseRequest(
                header, leader, clock, echo, remaining, age, new RegionMessage.Placement(second, slice, hot));
    }

    private static RegionMessage.Vote vote(RegionMessage.Header header, ByteBuffer at) {
        boolean yes = at.get() == 1;
        int branch = Short.toUnsignedInt(at.getShort());
        long clock = at.getLong();
        long echo = at.getLong();
        long holdsTo = at.getLong();
        double sent = amount(at);
        long hot = at.getLong();
        double hotSent = amount(at);
        List<RegionMessage.ParentReport> opinions = new ArrayList<>();
        for (int i = Byte.toUnsignedInt(at.get()); i > 0; i--) {
            opinions.add(new RegionMessage.ParentReport(
                    at.getLong(),
                    at.getInt(),
                    fromByte(at),
                    fromByte(at),
                    fromByte(at),
                    Byte.toUnsignedInt(at.get()),
                    at.getInt(),
                    Byte.toUnsignedInt(at.get()) * ANSWERED_STEP_US));
        }
        return new RegionMessage.Vote(header, yes, branch, clock, echo, holdsTo, sent, hot, hotSent, opinions);
    }

    private static RegionMessage.DirectoryUpdate directoryUpdate(RegionMessage.Header header, ByteBuffer at) {
        int loadCount = Byte.toUnsignedInt(at.get());
        int claims = Byte.toUnsignedInt(at.get());
        List<RegionMessage.ZoneLoad> loads = new ArrayList<>();
        for (int i = 0; i < loadCount; i++) {
            loads.add(
                    new RegionMessage.ZoneLoad(Short.toUnsignedInt(at.getShort()), at.getLong(), amount(at), at.get()));
        }
        List<RegionMessage.LeadershipClaim> claimed = new ArrayList<>();
        for (int i = 0; i < claims; i++) {
            claimed.add(new RegionMessage.LeadershipClaim(
                    at.getInt(), at.getLong(), at.getLong(), amount(at), at.getInt()));
        }
        return new RegionMessage.DirectoryUpdate(header, loads, claimed);
    }

    private static <T> List<T> first(List<T> list, int most) {
        return list.subList(0, Math.min(most, list.size()));
    }

    private static byte toByte(double part) {
        return (byte) Math.round(Math.max(0, Math.min(1, part)) * MAX_BYTE);
    }

    private static double fromByte(ByteBuffer at) {
        return Byte.toUnsignedInt(at.get()) / (double) MAX_BYTE;
    }

    /** A measured amount; anything else makes the message malformed. */
    private static double amount(ByteBuffer at) {
        float amount = at.getFloat();
        if (!Float.isFinite(amount) || amount < 0) {
            throw new BufferUnderflowException();
        }
        return amount;
    }

    private static int toInt(long us) {
        return (int) Math.max(0, Math.min(Integer.MAX_VALUE, us));
    }
}
