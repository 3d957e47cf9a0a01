package magpiewheel.flows;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.HexFormat;
import java.util.List;
import magpiewheel.ipfix.MessageWriter;
import magpiewheel.pressure.HeavyHitters;
import magpiewheel.records.FlowRecord;
import org.junit.jupiter.api.Test;

/** The octets of IPFIX templates and of a record of each: collectors store them. */
class LayoutsGoldenTest {
    private static final long ENTERPRISE = 32_473;
    private final MessageWriter writer = new MessageWriter(1_420, 77, ENTERPRISE);
    private final Layouts layouts =
            new Layouts(writer, List.of("video", "static"), List.of("central", "east"), 77, ENTERPRISE);

    private String message() {
        ByteBuffer closed = writer.close(0x65000000L);
        byte[] bytes = new byte[closed.remaining()];
        closed.get(bytes);
        return HexFormat.of().formatHex(bytes);
    }

    @Test
    void templatesAndTypes() {
        assertTrue(layouts.templates());
        assertEquals(
                "000a023a65000000000000000000004d000200ec01000013009800080099000800080004000c0004"
                        + "00070002000b000200040001003d000100880001019100088001000100007ed98004000100007ed9"
                        + "8005000100007ed98006000100007ed98007000800007ed98008000400007ed98009000400007ed9"
                        + "8002ffff00007ed98003ffff00007ed90101000b0098000800990008000300080191000880010001"
                        + "00007ed98004000100007ed98005000100007ed98006000100007ed98009000400007ed98002ffff"
                        + "00007ed98003ffff00007ed9010200060098000800990008800a000200007ed98007000800007ed9"
                        + "019100088003ffff00007ed90003003401030004000100950004002a000800a5000800a800080104"
                        + "00050002015a0004012f000201530001015800010155ffff0104010a00007ed980010104136d6167"
                        + "706965776865656c466c6f774b696e6400007ed980020d04106d6167706965776865656c436c6173"
                        + "7300007ed980030d04116d6167706965776865656c4272616e636800007ed980040104156d616770"
                        + "6965776865656c536f757263654b696e6400007ed9800501040e6d6167706965776865656c456e64"
                        + "00007ed9800601040e6d6167706965776865656c48697400007ed980070404116d61677069657768"
                        + "65656c4f626a65637400007ed980080304106d6167706965776865656c506965636500007ed98009"
                        + "03040f6d6167706965776865656c4e6f646500007ed9800a0204176d6167706965776865656c4372"
                        + "6f776465645368617265",
                message());
    }

    @Test
    void oneRecordOfEachKind() {
        FlowRecord flow = new FlowRecord(
                FlowRecord.Kind.SEND,
                1_764_576_000_123L,
                1_764_576_000_456L,
                0x0a000001,
                4_000,
                0x0a000002,
                5_000,
                100_000,
                100_000,
                1,
                0,
                1,
                FlowRecord.SourceKind.CACHE,
                FlowRecord.End.CUT_OFF,
                FlowRecord.Hit.STALE,
                0x1122334455667788L,
                3,
                9);
        assertTrue(layouts.flow(flow));
        assertTrue(layouts.flow(flow.plus(flow)));
        assertTrue(layouts.crowded(1, 2, 0.25, new HeavyHitters.Hitter(0x99L, 1_000, 10), 0));
        assertTrue(layouts.losses(5, 6, 7));
        assertEquals(
                "000a00df65000000000000000000004d0100004a0000019ad8ecf87b0000019ad8ecf9c80a000001"
                        + "0a0000020fa0138806010400000000000186a0000104051122334455667788000000030000000905"
                        + "766964656f0465617374010100370000019ad8ecf87b0000019ad8ecf9c800000000000000020000"
                        + "000000030d40000104050000000905766964656f04656173740102002e0000000000000001000000"
                        + "000000000200fa000000000000009900000000000003e80763656e7472616c010300200000004d00"
                        + "0000000000000500000000000000060000000000000007",
                message());
    }
}
