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

    /** A response over the UDP size limit has no addresses and TC set, so that the resolver retries over TCP. */
    @Test
    void responseOverTheSizeLimitIsTruncated() {
        List<Integer> addresses = Collections.nCopies(40, 0x7f000001);
        DnsMessage.Query udpQuery = parse("0001010000010000000000" + "00" + QUESTION, false);
        byte[] truncated = DnsMessage.addressResponse(udpQuery, addresses);
        assertTrue(truncated.length <= 512 && (flags(truncated) & 0x0200) != 0 && truncated[7] == 0);
        byte[] complete =
                DnsMessage.addressResponse(parse("0001010000010000000000" + "00" + QUESTION, true), addresses);
        assertEquals(40, complete[7]);
        assertEquals(0, flags(complete) & 0x0200);
        byte[] fitting = DnsMessage.addressResponse(udpQuery, addresses.subList(0, 28));
        assertEquals(28, fitting[7]);
        assertTrue(fitting.length <= 512);
    }

    @Test
    void onlyOneOptRecordOfVersionZeroIsAccepted() {
        DnsMessage.Query query = parse("000101000001000000000001" + QUESTION + OPT, false);
        assertTrue(query.edns());
        assertEquals(512, query.maxResponseBytes());
        String largerOpt = OPT.replace("00290200", "00290fff");
        assertEquals(
                DnsMessage.MAX_EDNS_UDP_BYTES,
                parse("000101000001000000000001" + QUESTION + largerOpt, false).maxResponseBytes());
        assertEquals(
                DnsMessage.FORMERR,
                parse("000101000001000000000002" + QUESTION + OPT + OPT, false).error());
        String laterVersion = "000029020000010000" + "0000";
        DnsMessage.Query laterQuery = parse("000101000001000000000001" + QUESTION + laterVersion, false);
        assertEquals(DnsMessage.BADVERS, laterQuery.error());
        byte[] answer = DnsMessage.rcodeResponse(laterQuery, laterQuery.error());
        assertEquals(0, flags(answer) & 0xf);
        assertEquals(1, answer[answer.length - 6], "the upper bits of the response code are in the OPT record");
    }

    @Test
    void malformedQueriesGetAnErrorOrNoResponse() {
        assertNull(parse("0001", false));
        assertNull(parse("000181000001000000000000" + QUESTION, false), "a response gets no response");
        assertEquals(
                DnsMessage.NOTIMP,
                parse("000110000001000000000000" + QUESTION, false).error());
        for (String malformed :
                List.of("0161", "016101620000", "4061" + "61".repeat(63) + "0000010001", "ff", "c00c00010001")) {
            assertEquals(
                    DnsMessage.FORMERR,
                    parse("000101000001000000000000" + malformed, false).error(),
                    malformed);
        }
        assertEquals(
                DnsMessage.FORMERR,
                parse("000101000001000000000001" + QUESTION, false).error(),
                "the announced additional record is missing");
    }
}
