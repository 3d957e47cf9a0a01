package magpiewheel.region;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** Codes the messages: 256 bytes at most, anything else is none of ours. */
final class RegionMessageCodec {
    static final int MAX_MESSAGE_BYTES = 256;
    /** First byte: no kind of the membership's or the module's messages. */
    static final byte MARK = (byte) 0xe1;
    /** Parents that a vote tells of at most. */
    static final int MAX_REPORTS = 9;

    static final int MAX_HOT_OBJECTS = 4;
    static final int MAX_LOADS = 7;
    static final int MAX_CLAIMS = 3;
    private static final int ASK = 1;
    private static final int VOTE = 2;
    private static final int DOUBT = 3;
    private static final int WORDS = 4;
    private static final int MAX_BYTE = 255;
    private static final long ANSWERED_STEP_US = 20_000;

    private RegionMessageCodec() {}

    static byte[] encode(RegionMessage message) {
        ByteBuffer at = ByteBuffer.allocate(MAX_MESSAGE_BYTES);
        int kind = message instanceof RegionMessage.LeaseRequest
                ? ASK
                : message instanceof RegionMessage.Vote
                        ? VOTE
                        : message instanceof RegionMessage.Suspicion ? DOUBT : WORDS;
        at.put(MARK).put((byte) kind);
        at.putInt(message.header().region())
                .putLong(message.header().term())
                .putLong(message.header().startedMs());
        if (message instanceof RegionMessage.LeaseRequest ask) {
            at.putLong(ask.leader())
                    .putLong(ask.sentAt())
                    .putLong(ask.echoedVoteAt())
                    .putInt(whole(ask.remainingUs()));
            at.putLong(ask.leadingForUs()).putLong(ask.placement().second()).put((byte)
                    ask.placement().slice());
            List<Long> hot = first(ask.placement().hotObjects(), MAX_HOT_OBJECTS);
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
            for (RegionMessage.ParentReport opinion : opinions) {
                at.putLong(opinion.parent())
                        .putInt(whole(opinion.firstByteUs()))
                        .put(small(opinion.failureRatio()));
                at.put(small(opinion.freeCapacity())).put(small(opinion.hitRatio()));
                at.put((byte) Math.min(MAX_BYTE, opinion.samples())).putInt(whole(opinion.silentUs()));
                at.put((byte) Math.min(MAX_BYTE, opinion.answeredAgoUs() / ANSWERED_STEP_US));
            }
        } else if (message instanceof RegionMessage.Suspicion doubt) {
            at.putLong(doubt.leader()).putInt(whole(doubt.silentUs())).put((byte) Math.min(MAX_BYTE, doubt.overdue()));
        } else if (message instanceof RegionMessage.DirectoryUpdate words) {
            at.put((byte) words.loads().size()).put((byte) words.claims().size());
            for (RegionMessage.ZoneLoad load : words.loads()) {
                at.putShort((short) load.zone()).putLong(load.version()).putFloat((float) load.load());
                at.put((byte) load.homeSlot());
            }
            for (RegionMessage.LeadershipClaim claim : words.claims()) {
                at.putInt(claim.region()).putLong(claim.term()).putLong(claim.leader());
                at.putFloat((float) claim.load()).putInt(whole(claim.agoUs()));
            }
        }
        return Arrays.copyOf(at.array(), at.position());
    }

    /** The message, or null where the bytes are none of ours. */
    static RegionMessage decode(byte[] bytes) {
        if (bytes.length > MAX_MESSAGE_BYTES || bytes.length < 2 || bytes[0] != MARK) {
            return null;
        }
        ByteBuffer at = ByteBuffer.wrap(bytes).position(1);
        try {
            int kind = at.get();
            RegionMessage.Header head = new RegionMessage.Header(at.getInt(), at.getLong(), at.getLong());
            RegionMessage message = switch (kind) {
                case ASK -> ask(head, at);
                case VOTE -> vote(head, at);
                case DOUBT ->
                    new RegionMessage.Suspicion(head, at.getLong(), at.getInt(), Byte.toUnsignedInt(at.get()));
                case WORDS -> words(head, at);
                default -> null;
            };
            return at.hasRemaining() ? null : message;
        } catch (BufferUnderflowException cutOffOrSpoilt) {
            return null;
        }
    }

    private static RegionMessage.LeaseRequest ask(RegionMessage.Header head, ByteBuffer at) {
        long leader = at.getLong();
        long clock = at.getLong();
        long echo = at.getLong();
        long left = at.getInt();
        long age = at.getLong();
        long second = at.getLong();
        int slice = Byte.toUnsignedInt(at.get());
        List<Long> hot = new ArrayList<>();
        for (int i = Byte.toUnsignedInt(at.get()); i > 0; i--) {
            hot.add(at.getLong());
        }
        return new RegionMessage.LeaseRequest(
                head, leader, clock, echo, left, age, new RegionMessage.Placement(second, slice, hot));
    }

    private static RegionMessage.Vote vote(RegionMessage.Header head, ByteBuffer at) {
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
                    part(at),
                    part(at),
                    part(at),
                    Byte.toUnsignedInt(at.get()),
                    at.getInt(),
                    Byte.toUnsignedInt(at.get()) * ANSWERED_STEP_US));
        }
        return new RegionMessage.Vote(head, yes, branch, clock, echo, holdsTo, sent, hot, hotSent, opinions);
    }

    private static RegionMessage.DirectoryUpdate words(RegionMessage.Header head, ByteBuffer at) {
        int loads = Byte.toUnsignedInt(at.get());
        int claims = Byte.toUnsignedInt(at.get());
        List<RegionMessage.ZoneLoad> told = new ArrayList<>();
        for (int i = 0; i < loads; i++) {
            told.add(
                    new RegionMessage.ZoneLoad(Short.toUnsignedInt(at.getShort()), at.getLong(), amount(at), at.get()));
        }
        List<RegionMessage.LeadershipClaim> claimed = new ArrayList<>();
        for (int i = 0; i < claims; i++) {
            claimed.add(new RegionMessage.LeadershipClaim(
                    at.getInt(), at.getLong(), at.getLong(), amount(at), at.getInt()));
        }
        return new RegionMessage.DirectoryUpdate(head, told, claimed);
    }

    private static <T> List<T> first(List<T> list, int most) {
        return list.subList(0, Math.min(most, list.size()));
    }

    private static byte small(double part) {
        return (byte) Math.round(Math.max(0, Math.min(1, part)) * MAX_BYTE);
    }

    private static double part(ByteBuffer at) {
        return Byte.toUnsignedInt(at.get()) / (double) MAX_BYTE;
    }

    /** An amount that somebody measured; anything else makes the message none of ours. */
    private static double amount(ByteBuffer at) {
        float amount = at.getFloat();
        if (!Float.isFinite(amount) || amount < 0) {
            throw new BufferUnderflowException();
        }
        return amount;
    }

    private static int whole(long us) {
        return (int) Math.max(0, Math.min(Integer.MAX_VALUE, us));
    }
}
