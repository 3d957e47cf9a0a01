package magpiewheel.ipfix;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class MessageTest {
    private static final long ENTERPRISE = 32_473;
    /** By hand from RFC 7011, section 3: a template of two fields, a record of each kind of length, padding. */
    private static final String GOLDEN = """
            000a 0038 65000000 00000005 0000004d
            0002 0014 0100 0002 0191 0008 8003 ffff 00007ed9
            0100 0014 0000000000000400 04 65617374 000000
            """.replaceAll("\\s", "");

    private static ByteBuffer bytes(String hex) {
        return ByteBuffer.wrap(HexFormat.of().parseHex(hex));
    }

    private static MessageReader.Message read(String hex, boolean stream) throws DecodeException {
        return new MessageReader(ENTERPRISE, stream).read(bytes(hex));
    }

    @Test
    void aMessageWrittenByHandIsRead() throws DecodeException {
        MessageReader.Message message = read(GOLDEN, false);
        assertEquals(0x65000000L, message.second());
        assertEquals(5, message.sequence());
        assertEquals(77, message.domain());
        assertEquals(
                List.of(new Template(
                        256, 0, List.of(new Template.Field(401, 0, 8), new Template.Field(3, ENTERPRISE, 65_535)))),
                message.templates());
        assertEquals(1, message.records().size());
        assertEquals(1_024L, message.records().get(0).values().get("transportOctetDeltaCount"));
        assertEquals("east", message.records().get(0).values().get("magpiewheelBranch"));
    }

    @Test
    void whatIsWrittenIsTheSameToTheOctet() {
        MessageWriter writer = new MessageWriter(200, 77, ENTERPRISE, 5);
        Template template = writer.template(256, 0, List.of(Element.PAYLOAD_OCTETS, Element.BRANCH));
        assertTrue(writer.template(template));
        assertTrue(writer.record(template, at -> {
            at.putLong(1_024);
            MessageWriter.text(at, "east");
        }));
        ByteBuffer message = writer.close(0x65000000L);
        byte[] bytes = new byte[message.remaining()];
        message.get(bytes);
        // The one by hand is padded to four octets, which RFC 7011 leaves open.
        assertEquals(
                GOLDEN.substring(0, GOLDEN.length() - 6)
                        .replaceFirst("000a0038", "000a0035")
                        .replaceFirst("01000014", "01000011"),
                HexFormat.of().formatHex(bytes));
        assertEquals(6, writer.sequence());
        assertTrue(writer.empty());
    }

    @Test
    void theSequenceNumberWraps() {
        MessageWriter writer = new MessageWriter(200, 1, ENTERPRISE, 0xffff_ffffL);
        Template template = writer.template(256, 0, List.of(Element.PROTOCOL));
        assertTrue(writer.record(template, at -> at.put((byte) 6)) && writer.record(template, at -> at.put((byte) 6)));
        assertEquals(0xffff_ffffL, Integer.toUnsignedLong(writer.close(0).getInt(8)));
        assertEquals(1, writer.sequence());
    }

    /** A datagram that the machine refused to send is sent again later: it must not look like one that was lost. */
    @Test
    void aMessageThatNeverLeftLeavesNoGap() {
        MessageWriter writer = new MessageWriter(200, 1, ENTERPRISE, 0xffff_ffffL);
        Template template = writer.template(256, 0, List.of(Element.PROTOCOL));
        assertTrue(writer.record(template, at -> at.put((byte) 6)));
        writer.close(0);
        assertEquals(0, writer.sequence());
        writer.takeBack();
        assertEquals(0xffff_ffffL, writer.sequence());
    }

    @Test
    void aRecordThatDoesNotFitLeavesNothingBehind() throws DecodeException {
        MessageWriter writer = new MessageWriter(60, 1, ENTERPRISE);
        Template template = writer.template(256, 0, List.of(Element.BRANCH));
        assertTrue(writer.template(template));
        assertTrue(writer.record(template, at -> MessageWriter.text(at, "a")));
        assertFalse(writer.record(template, at -> MessageWriter.text(at, "b".repeat(60))));
        assertFalse(writer.template(new Template(
                300,
                0,
                template.fields().stream()
                        .flatMap(f -> List.of(f, f, f).stream())
                        .toList())));
        MessageReader.Message message = new MessageReader(ENTERPRISE, false).read(writer.close(1));
        assertEquals(
                List.of("a"),
                message.records().stream()
                        .map(d -> d.values().get("magpiewheelBranch"))
                        .toList());
    }

    @Test
    void longStringsTakeThreeOctetsOfLength() throws DecodeException {
        MessageWriter writer = new MessageWriter(1_000, 1, ENTERPRISE);
        Template template = writer.template(256, 0, List.of(Element.CLASS));
        writer.template(template);
        writer.record(template, at -> MessageWriter.text(at, "c".repeat(255)));
        assertEquals(
                "c".repeat(255),
                new MessageReader(ENTERPRISE, false)
                        .read(writer.close(1))
                        .records()
                        .get(0)
                        .values()
                        .get("magpiewheelClass"));
    }

    @Test
    void typeRecordsNameWhatIsNotKnown() throws DecodeException {
        MessageWriter writer = new MessageWriter(400, 1, 99);
        Template types = writer.template(
                260,
                2,
                List.of(
                        Element.ENTERPRISE,
                        Element.ELEMENT_ID,
                        Element.ELEMENT_TYPE,
                        Element.ELEMENT_SEMANTICS,
                        Element.ELEMENT_NAME));
        Template data = writer.template(256, 0, List.of(Element.HIT));
        assertTrue(writer.template(types) && writer.template(data));
        assertTrue(writer.record(types, at -> {
            at.putInt(99)
                    .putShort((short) (0x8000 | Element.HIT.number))
                    .put((byte) 1)
                    .put((byte) 4);
            MessageWriter.text(at, "magpiewheelHit");
        }));
        MessageReader foreign = new MessageReader(7, false);
        foreign.read(writer.close(1));
        assertTrue(writer.record(data, at -> at.put((byte) 2)));
        assertEquals(2L, foreign.read(writer.close(1)).records().get(0).values().get("magpiewheelHit"));
    }

    @Test
    void withdrawalIsForStreamsAndEndsATemplate() throws DecodeException {
        String withdrawal = "000a0018 00000000 00000000 0000004d 0002 0008 0100 0000".replace(" ", "");
        DecodeException over = assertThrows(DecodeException.class, () -> read(withdrawal, false));
        assertEquals(20, over.offset());
        MessageReader stream = new MessageReader(ENTERPRISE, true);
        stream.read(bytes(GOLDEN));
        String data = "000a001d 00000000 00000000 0000004d 0100 000d 0000000000000001 00".replace(" ", "");
        assertEquals(1, stream.read(bytes(data)).records().size());
        stream.read(bytes(withdrawal));
        MessageReader.Message after = stream.read(bytes(data));
        assertEquals(0, after.records().size());
        assertEquals(1, after.unknownSets());
    }

    /** Each with the offset at which it goes wrong. */
    @Test
    void whatIsNoMessageIsNamedWithItsOffset() {
        String head = "00000000 00000000 0000004d";
        String[][] wrong = {
            {"00", "1"},
            {"0009 0010" + head, "0"},
            {"000a 0011" + head, "2"},
            {"000a 0012" + head + "0100", "16"},
            {"000a 0014" + head + "0100 0003", "18"},
            {"000a 0014" + head + "0100 0005", "18"},
            {"000a 0014" + head + "0004 0004", "16"},
            {"000a 0018" + head + "0002 0008 00ff 0001", "20"},
            {"000a 0018" + head + "0002 0008 0100 0001", "24"},
            {"000a 001c" + head + "0002 000c 0100 0001 8001 0001", "28"},
            {"000a 001a" + head + "0003 000a 0100 0001 0002", "20"},
            {"000a 0022" + head + "0002 000c 0100 0001 0003 ffff 0100 0006 05 61", "33"},
            {"000a 0016" + head + "0002 0006 0001", "21"}
        };
        for (String[] each : wrong) {
            DecodeException e =
                    assertThrows(DecodeException.class, () -> read(each[0].replace(" ", ""), false), each[0]);
            assertEquals(Integer.parseInt(each[1]), e.offset(), each[0] + " " + e.getMessage());
        }
    }

    /** A message refused half way teaches nothing. */
    @Test
    void aRefusedMessageLeavesNoTemplates() throws DecodeException {
        MessageReader reader = new MessageReader(ENTERPRISE, false);
        byte[] spoilt = HexFormat.of().parseHex(GOLDEN);
        spoilt[spoilt.length - 1] = 1;
        assertThrows(DecodeException.class, () -> reader.read(ByteBuffer.wrap(spoilt)));
        String data = "000a001d 00000000 00000000 0000004d 0100 000d 0000000000000001 00".replace(" ", "");
        assertEquals(1, reader.read(bytes(data)).unknownSets());
    }

    @Property(tries = 2_000, seed = "1")
    void anyBytesAreAMessageOrNamedWrong(@ForAll @Size(max = 200) byte[] body, @ForAll boolean stream) {
        ByteBuffer message =
                ByteBuffer.allocate(16 + body.length).putShort((short) 10).putShort((short) (16 + body.length));
        message.position(16);
        message.put(body).flip();
        refusedOrRead(new MessageReader(ENTERPRISE, stream), message);
    }

    @Property(tries = 500, seed = "1")
    void aGoodMessageSpoiltAnywhereIsReadOrNamedWrong(
            @ForAll @IntRange(max = 55) int at, @ForAll byte octet, @ForAll @IntRange(min = 1, max = 56) int cut) {
        byte[] bytes = HexFormat.of().parseHex(GOLDEN);
        bytes[at] = octet;
        refusedOrRead(new MessageReader(ENTERPRISE, true), ByteBuffer.wrap(Arrays.copyOf(bytes, cut)));
    }

    private static void refusedOrRead(MessageReader reader, ByteBuffer message) {
        int size = message.remaining();
        try {
            reader.read(message);
        } catch (DecodeException e) {
            assertTrue(e.offset() >= 0 && e.offset() <= size, e.getMessage());
        }
    }
}
