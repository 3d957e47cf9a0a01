package magpiewheel.adapter;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.HexFormat;
import magpiewheel.routing.AttemptPlan;
import org.junit.jupiter.api.Test;

class AdapterTest {
    private static final String BATCH_TIME = "5a5c800000000000";

    private static byte[] hex(String text) {
        return HexFormat.of().parseHex(text.replace(" ", ""));
    }

    private static byte[] run(String input) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new Adapter(new ByteArrayInputStream(hex(input)), out).run();
        return out.toByteArray();
    }

    @Test
    void emptyBatchGetsEmptyReply() throws IOException {
        assertArrayEquals(hex("00000000 00000000"), run("08000000" + BATCH_TIME));
    }

    @Test
    void emptyInputProducesNoOutput() throws IOException {
        assertEquals(0, run("").length);
    }

    @Test
    void malformedInputIsReportedWithItsValues() {
        assertTrue(errorOf("080000").contains("batch header: 3 of 4 bytes"));
        assertTrue(errorOf("09000000" + BATCH_TIME).contains("within a batch: 8 of 9 bytes"));
        assertTrue(errorOf("0d000000" + BATCH_TIME + "63 00000000").contains("unknown record code 99"));
        assertTrue(errorOf("0d000000" + BATCH_TIME + "06 ff000000")
                .contains("record 6 has length 255, but the batch has 0 bytes left"));
        assertTrue(errorOf("0f000000" + BATCH_TIME + "06 02000000 0300").contains("not started"));
        assertTrue(errorOf("1e000000" + BATCH_TIME + "00 11000000 0300 0000000000000000 03000000 7b7d7d")
                .contains("invalid settings"));
    }

    private static String errorOf(String input) {
        return assertThrows(FrameReader.MalformedInput.class, () -> run(input)).getMessage();
    }

    private static String littleEndian(long value, int bytes) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < bytes; i++) {
            text.append(String.format("%02x", value >>> 8 * i & 0xff));
        }
        return text.toString();
    }

    private static String batch(String records) {
        String body = BATCH_TIME + records.replace(" ", "");
        return littleEndian(body.length() / 2, 4) + body;
    }

    private static String startInstance(String instanceId) {
        String json = HexFormat.of().formatHex("{\"unknown\": [1], \"profiles\": [{\"goal_time_us\": 1}]}".getBytes());
        String fields = instanceId + "0100000000000000" + littleEndian(json.length() / 2, 4) + json;
        return "00" + littleEndian(fields.length() / 2, 4) + fields;
    }

    /**
     * Two instances without caches receive a request, an expired timer and a client disconnect; the request is
     * rejected.
     */
    @Test
    void eventsOfTwoInstancesInOneBatchAreAnsweredInOrder() throws IOException {
        byte[] reply = run(batch(startInstance("0300") + startInstance("0500"))
                + batch("02 28000000 0300 c4913a5dec380500 01 00000000 00003041 00002044 80a90300 00004040 00"
                        + "640ad2557c3bf091 06 0a000000 0300 4d00000000000000 05 0a000000 0500 192b6f0e5c760400"));
        assertArrayEquals(hex("00000000 00000000 01000000 13000000 01 0e000000 0300 c4913a5dec380500 00000000"), reply);
    }

    @Test
    void actionsAreEncodedInOrder() throws IOException {
        FrameWriter writer = new FrameWriter();
        writer.actionsOf(3)
                .startAttempt(
                        0x0538ec5d3a91c4L,
                        0x0a124a072bc3L,
                        AttemptPlan.builder(0x0a9011f22becL)
                                .retentionRank(2)
                                .deadlineUs(0x8e17faL)
                                .joinFill(true)
                                .revalidate(true)
                                .maxAgeUs(0x16e360L)
                                .startByUs(0)
                                .build());
        writer.actionsOf(3).setTimer(0x87fd7aL, 0x4d);
        writer.actionsOf(3).sendToPeer(0xffff, hex("68692037"));
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        writer.flush(out);
        assertArrayEquals(
                hex("03000000 4f000000"
                        + "0c 24000000 0300 c4913a5dec380500 0a124a07 c32b 02 fa178e0000000000 "
                        + "09 0a9011f2 ec2b 60e31600"
                        + "04 12000000 0300 7afd870000000000 4d00000000000000"
                        + "07 0a000000 0300 ffff 0400 68692037"),
                out.toByteArray());
    }
}
