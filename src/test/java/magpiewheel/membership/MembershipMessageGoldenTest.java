package magpiewheel.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.HexFormat;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Encoded bytes of membership messages, which must not change since other versions of the program read them. */
class MembershipMessageGoldenTest {
    private static final int ADDRESS = 0x0a010203;
    private static final long INCARNATION = 1_764_576_000_123L;

    private static MemberUpdate sender() {
        return MemberUpdate.ofSelf(17, MemberStatus.ALIVE, INCARNATION, 3, ADDRESS);
    }

    @Test
    void updates() {
        MembershipMessage message = new MembershipMessage(
                MembershipMessage.Kind.UPDATES,
                sender(),
                true,
                false,
                PartitionVerdict.PARTIAL,
                1_764_576_000_123_456L,
                50,
                0x01020304,
                List.of(
                        MemberUpdate.ofSelf(4, MemberStatus.LEFT, INCARNATION - 5, 1, ADDRESS + 1),
                        new MemberUpdate(
                                5,
                                MemberStatus.SUSPECT,
                                INCARNATION,
                                2,
                                ADDRESS + 2,
                                17,
                                MemberUpdate.NO_MEMBER,
                                130_000,
                                0),
                        new MemberUpdate(
                                6,
                                MemberStatus.DEAD,
                                INCARNATION,
                                MemberUpdate.UNKNOWN_ZONE,
                                0,
                                MemberUpdate.NO_MEMBER,
                                MemberUpdate.NO_MEMBER,
                                0,
                                INCARNATION)),
                new int[0]);
        assertEquals(
                "4d01010a0011019ad8ecf87b030a010203000644df5daaa24000320102030403000405019ad8ecf8"
                        + "76010a010204000503019ad8ecf87b020a0102050011ffff000d000684019ad8ecf87bff00000000"
                        + "019ad8ecf87b",
                HexFormat.of().formatHex(message.encode()));
    }

    @Test
    void digestsOfBuckets() {
        MembershipMessage message = new MembershipMessage(
                MembershipMessage.Kind.BUCKET_DIGESTS,
                sender(),
                false,
                true,
                PartitionVerdict.COMPLETE,
                5,
                70_000,
                -1,
                List.of(),
                IntStream.range(0, MembershipMessage.BUCKETS).toArray());
        assertEquals(
                "4d0106020011019ad8ecf87b030a0102030000000000000005ffffffffffff000000000000000001"
                        + "00000002000000030000000400000005000000060000000700000008000000090000000a0000000b"
                        + "0000000c0000000d0000000e0000000f000000100000001100000012000000130000001400000015"
                        + "000000160000001700000018000000190000001a0000001b0000001c0000001d0000001e0000001f",
                HexFormat.of().formatHex(message.encode()));
    }
}
