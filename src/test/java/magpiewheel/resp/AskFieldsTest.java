package magpiewheel.resp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import magpiewheel.core.Call;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class AskFieldsTest {
    private static final String ID = "trace=00000000000000a1,entity=ffffffffffffffff";

    private static Call.Ask read(String name, String fields) {
        return AskFields.read(new RespReader.Frame("ASK", 1, name, fields, null, false), List.of("video"), List.of(6_000_000L));
    }

    @Test
    void aWholeRequestIsReadAndItsPatienceNeverExceedsTheClasss() {
        assertEquals(new Call.Ask("00000000000000a1", 0, "video", -1, 3, 17, 412.5, 1_500_000, "5c", "4b", null),
                read("video", ID + ",patience=1500,piece=3,lot=17,size=412.5,nonce=5c,ver=4b"));
        assertEquals(6_000_000, read("video", ID + ",patience=600000").patienceUs());
        assertNull(read("videos", ID));
    }

    /** Whatever passed would be written to a node, which closes on it with all that is open there. */
    @ParameterizedTest
    @ValueSource(strings = {"", "trace=00000000000000a1", "entity=0000000000000001", "trace=1,entity=0000000000000001",
        "trace=00000000000000g1,entity=0000000000000001", "trace=00000000000000a1,entity=1", ID + ",patience=NaN",
        ID + ",patience=0", ID + ",patience=-5", ID + ",patience=soon", ID + ",patience=", ID + ",patience=1e9",
        ID + ",patience=999999999999999999999", ID + ",patience=Infinity", ID + ",patience=0x1p9", ID + ",size=nan",
        ID + ",size=-1", ID + ",size=99999999", ID + ",size=1d", ID + ",piece=-4", ID + ",piece=+4", ID + ",piece=99999999999",
        ID + ",lot=256", ID + ",lot=x", ID + ",lot=", ID + ",nonce=a b", ID + ",nonce=zz", ID + ",ver=a\r\nb",
        ID + ",trace=00000000000000a2", ID + ",", ID + ",=3", ID + ",piece"})
    void whatANodeCouldNotReadIsNoRequest(String fields) {
        assertNull(read("video", fields));
    }
}
