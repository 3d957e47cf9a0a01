package magpiewheel.dns;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Collections;
import java.util.HexFormat;
import java.util.List;
import org.junit.jupiter.api.Test;

class DnsMessageTest {
    private static final String QUESTION = "0161016200" + "00010001";
    private static final String OPT = "0000290200" + "00000000" + "0000";

    private static DnsMessage.Query parse(String hex, boolean tcp) {
        byte[] bytes = HexFormat.of().parseHex(hex);
        return DnsMessage.parse(bytes, bytes.length, tcp);
    }

    private static int flags(byte[] answer) {
        return (answer[2] & 0xff) << 8 | answer[3] & 0xff;
    }

    /** Too long for its way: no addresses and TC, so that the resolver comes back over TCP. */
    @Test
    void whatDoesNotFitIsCut() {
        List<Integer> many = Collections.nCopies(40, 0x7f000001);
        DnsMessage.Query udp = parse("0001010000010000000000" + "00" + QUESTION, false);
        byte[] cut = DnsMessage.addressResponse(udp, many);
        assertTrue(cut.length <= 512 && (flags(cut) & 0x0200) != 0 && cut[7] == 0);
        byte[] whole = DnsMessage.addressResponse(parse("0001010000010000000000" + "00" + QUESTION, true), many);
        assertEquals(40, whole[7]);
        assertEquals(0, flags(whole) & 0x0200);
        byte[] few = DnsMessage.addressResponse(udp, many.subList(0, 28));
        assertEquals(28, few[7]);
        assertTrue(few.length <= 512);
    }

    @Test
    void ednsIsReadOnceAndInVersionZero() {
        DnsMessage.Query query = parse("000101000001000000000001" + QUESTION + OPT, false);
        assertTrue(query.edns());
        assertEquals(512, query.maxResponseBytes());
        String larger = OPT.replace("00290200", "00290fff");
        assertEquals(
                DnsMessage.MAX_EDNS_UDP_BYTES,
                parse("000101000001000000000001" + QUESTION + larger, false).maxResponseBytes());
        assertEquals(
                DnsMessage.FORMERR,
                parse("000101000001000000000002" + QUESTION + OPT + OPT, false).error());
        String later = "000029020000010000" + "0000";
        DnsMessage.Query next = parse("000101000001000000000001" + QUESTION + later, false);
        assertEquals(DnsMessage.BADVERS, next.error());
        byte[] answer = DnsMessage.rcodeResponse(next, next.error());
        assertEquals(0, flags(answer) & 0xf);
        assertEquals(1, answer[answer.length - 6], "the upper bits of the rcode stand in the OPT record");
    }

    @Test
    void malformedQueriesGetFormerrOrNothing() {
        assertNull(parse("0001", false));
        assertNull(parse("000181000001000000000000" + QUESTION, false), "an answer");
        assertEquals(
                DnsMessage.NOTIMP,
                parse("000110000001000000000000" + QUESTION, false).error());
        for (String bad :
                List.of("0161", "016101620000", "4061" + "61".repeat(63) + "0000010001", "ff", "c00c00010001")) {
            assertEquals(
                    DnsMessage.FORMERR,
                    parse("000101000001000000000000" + bad, false).error(),
                    bad);
        }
        assertEquals(
                DnsMessage.FORMERR,
                parse("000101000001000000000001" + QUESTION, false).error(),
                "no OPT record");
    }
}
