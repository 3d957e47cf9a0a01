package magpiewheel.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import magpiewheel.routing.AttemptResult;
import magpiewheel.routing.CacheStatus;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ResponseLineTest {
    @Test
    void validLinesAreParsed() throws Exception {
        assertEquals(
                new ResponseLine(
                        "0a",
                        AttemptResult.OK,
                        false,
                        CacheStatus.FILLED_BY_ORIGIN,
                        39_300,
                        "5d",
                        1_796_137_953_049L,
                        240_000),
                ResponseLine.parse("0a DONE tag=5d,minted=1796137953049,tell=via_origin,lag=39.3 240000"));
        assertTrue(ResponseLine.parse("0a KEEP tag=5d,minted=17,tell=hit 0").unchanged());
        assertEquals(AttemptResult.REJECTED, ResponseLine.parse("0a WAIT - 0").result());
        assertFalse(ResponseLine.parse("0a DONE tell=hit 52").identifiesCopy(), "no tag and no origin time");
    }

    /**
     * Observed on real connections: an empty length was parsed as 0, and the client got a successful response without
     * bytes.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "0a DONE - ",
                "0a DONE -",
                "0a DONE",
                "0a",
                "",
                "0a DONE tag=5d,minted=1 -3",
                "0a DONE tag=5d,minted=1 +3",
                "0a DONE tag=5d,minted=1 many",
                "0a DONE tag=5d,minted=1 3000000000",
                "0a DONE tag=5d,minted=1 240001",
                "0a DONE tag=5d,minted=1 99999999999999999999",
                "0a DONE tag=,minted=1 3",
                "0a DONE tag=5d,minted=x 3",
                "0a DONE tag 3",
                "0a DONE tag=5d,minted=1,lag=NaN 3",
                "0a DONE tag=5d,minted=1,lag=-1 3",
                "0a MAYBE - 0",
                " DONE tag=5d,minted=1 3",
                "0a DONE tag=5d,minted=1 3 4",
                "0a KEEP tag=5d,minted=1 3",
                "0a LACK - 7"
            })
    void malformedLinesAreRejected(String line) {
        assertThrows(ResponseLine.MalformedResponseException.class, () -> ResponseLine.parse(line));
    }
}
