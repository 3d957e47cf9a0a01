package magpiewheel.staleness;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ReadHintTest {
    @Test
    void wordsAreParsedInAnyOrder() throws InvalidHintException {
        ReadHint hint = new ReadHint(1_500_000, 1_764_576_000_123L, 0x9f3a9c21e0b4d655L, true);
        assertEquals(hint, ReadHint.parse("at_most:1500+after:1764576000123+pin:9f3a9c21e0b4d655+strict"));
        assertEquals(hint, ReadHint.parse("strict+pin:9f3a9c21e0b4d655+after:1764576000123+at_most:1500"));
        assertEquals(new ReadHint(0, 0, 0x9f3a9c21e0b4d655L, false), ReadHint.parse("pin:9f3a9c21e0b4d655"));
        assertEquals(new ReadHint(1_000, 0, 0, false), ReadHint.parse("at_most:1+prefer"));
        assertEquals(ReadHint.NONE, ReadHint.parse("prefer"));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "''|The hint is empty.",
                "newest|The hint has a word that is not known: newest.",
                "at_most:5+|The hint has a word that is not known: an empty one.",
                "At_most:5|The hint has a word that is not known: At_most.",
                "at_most:5+at_most:5|The hint has at_most twice.",
                "after:5+after:6|The hint has after twice.",
                "strict+at_most:5+strict|The hint has strict twice.",
                "pin:9f3a9c21e0b4d655+pin:9f3a9c21e0b4d655|The hint has pin twice.",
                "at_most|The hint's at_most needs a whole number of ms behind a colon.",
                "at_most:|The hint's at_most needs a whole number of ms behind a colon.",
                "at_most:-5|The hint's at_most needs a whole number of ms behind a colon.",
                "at_most:1e3|The hint's at_most needs a whole number of ms behind a colon.",
                "after:9999999999999999|The hint's after needs a whole number of ms behind a colon.",
                "at_most:0|The hint's at_most is out of range: 1 to 86400000 ms.",
                "at_most:86400001|The hint's at_most is out of range: 1 to 86400000 ms.",
                "after:0|The hint's after is out of range: 1 to 253402300799999 ms.",
                "after:253402300800000|The hint's after is out of range: 1 to 253402300799999 ms.",
                "pin:9f3a|The hint's pin needs a session of 16 hex digits behind a colon.",
                "pin:0000000000000000|The hint's pin is out of range: session 0 stands for none.",
                "at_most:5+strict:1|The hint's strict takes no value.",
                "at_most:5+strict+prefer|The hint asks for strict and prefer at once.",
                "strict|The hint is strict but names neither at_most nor after.",
                "strict+pin:9f3a9c21e0b4d655|The hint is strict but names neither at_most nor after.",
            })
    void malformedHintIsRejectedWithOneSentence(String text, String sentence) {
        assertEquals(
                sentence,
                assertThrows(InvalidHintException.class, () -> ReadHint.parse(text))
                        .getMessage());
    }

    @Test
    void tooLongHintIsRejected() {
        assertEquals(
                "The hint is longer than 128 characters.",
                assertThrows(InvalidHintException.class, () -> ReadHint.parse("prefer+".repeat(19)))
                        .getMessage());
    }

    @Property(tries = 500)
    void valuesAreParsedExactly(
            @ForAll @LongRange(min = 1, max = 86_400_000) long atMost,
            @ForAll @LongRange(min = 1, max = 253_402_300_799_999L) long after,
            @ForAll long session)
            throws InvalidHintException {
        long one = session == 0 ? 1 : session;
        assertEquals(
                new ReadHint(atMost * 1000, after, one, true),
                ReadHint.parse("strict+at_most:" + atMost + "+pin:" + String.format("%016x", one) + "+after:" + after));
    }

    @Property(tries = 2_000)
    void anyTextIsParsedOrRejectedWithOneSentence(@ForAll String text) {
        try {
            ReadHint.parse(text);
        } catch (InvalidHintException e) {
            assertTrue(e.getMessage().matches("The hint[ -~]*\\."), e.getMessage());
        }
    }
}
