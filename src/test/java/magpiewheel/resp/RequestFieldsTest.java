package magpiewheel.resp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import magpiewheel.engine.PendingRequest;
import magpiewheel.staleness.InvalidHintException;
import magpiewheel.staleness.ReadHint;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class RequestFieldsTest {
    private static final String ID = "trace=00000000000000a1,entity=ffffffffffffffff";

    private static PendingRequest.ClientRequest read(String name, String fields, boolean hints)
            throws InvalidHintException {
        return RequestFields.read(
                new RespParser.Frame("ASK", 1, name, fields, null, false),
                List.of("video"),
                List.of(6_000_000L),
                hints);
    }

    private static PendingRequest.ClientRequest read(String name, String fields) throws InvalidHintException {
        return read(name, fields, true);
    }

    @Test
    void aWholeRequestIsReadAndItsPatienceNeverExceedsTheClasss() throws InvalidHintException {
        assertEquals(
                new PendingRequest.ClientRequest(
                        "00000000000000a1", 0, "video", -1, 3, 17, 412.5, 1_500_000, "5c", "4b", null),
                read("video", ID + ",patience=1500,piece=3,lot=17,size=412.5,nonce=5c,ver=4b"));
        assertEquals(6_000_000, read("video", ID + ",patience=600000").timeBudgetUs());
        assertNull(read("videos", ID));
    }

    /** Whatever passed would be written to a node, which closes on it with all that is open there. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "trace=00000000000000a1",
                "entity=0000000000000001",
                "trace=1,entity=0000000000000001",
                "trace=00000000000000g1,entity=0000000000000001",
                "trace=00000000000000a1,entity=1",
                ID + ",patience=NaN",
                ID + ",patience=0",
                ID + ",patience=-5",
                ID + ",patience=soon",
                ID + ",patience=",
                ID + ",patience=1e9",
                ID + ",patience=999999999999999999999",
                ID + ",patience=Infinity",
                ID + ",patience=0x1p9",
                ID + ",size=nan",
                ID + ",size=-1",
                ID + ",size=99999999",
                ID + ",size=1d",
                ID + ",piece=-4",
                ID + ",piece=+4",
                ID + ",piece=99999999999",
                ID + ",lot=256",
                ID + ",lot=x",
                ID + ",lot=",
                ID + ",nonce=a b",
                ID + ",nonce=zz",
                ID + ",ver=a\r\nb",
                ID + ",trace=00000000000000a2",
                ID + ",",
                ID + ",=3",
                ID + ",piece"
            })
    void fieldsThatAnEndpointCannotParseAreRejected(String fields) throws InvalidHintException {
        assertNull(read("video", fields));
    }

    /** Where hints are off, their field is passed over, whatever stands in it. */
    @Test
    void aHintIsReadWhereTheyAreOnAndPassedOverWhereNot() throws InvalidHintException {
        assertEquals(
                new ReadHint(1_500_000, 1_764_576_000_123L, 0x9f3a9c21e0b4d655L, true),
                read("video", ID + ",hint=at_most:1500+after:1764576000123+pin:9f3a9c21e0b4d655+strict")
                        .hint());
        assertEquals(ReadHint.NONE, read("video", ID).hint());
        assertThrows(InvalidHintException.class, () -> read("video", ID + ",hint=strict+prefer"));
        assertEquals(read("video", ID), read("video", ID + ",hint=strict+prefer", false));
        assertNull(read("video", ID + ",hint=at_most:5,hint=at_most:6", false), "a name that comes twice");
    }
}
