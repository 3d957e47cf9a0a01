package magpiewheel.fabric;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import magpiewheel.fabric.Asked.Part;
import magpiewheel.fabric.Copy.Given;
import magpiewheel.fabric.Copy.Withheld;

/** A cache node of the tests: what it lacks it fills from the source that the request names, and keeps. */
final class StandInCache {
    static final byte[] BODY = new byte[200];
    private final Map<Part, Copy> copies = new ConcurrentHashMap<>();
    private final Fills fills = new Fills();
    private final Map<String, Source> sources;

    StandInCache(Map<String, Source> sources) {
        this.sources = sources;
    }

    /** What it answers to a line. */
    byte[] answer(Asked asked) throws InterruptedException {
        Copy held = copies.get(asked.part());
        if (asked.takes(held)) {
            return held.tag().equals(asked.known())
                    ? line(asked, "KEEP", fields("hit", held), new byte[0])
                    : line(asked, "DONE", fields("hit", held), BODY);
        }
        boolean joins = fills.has(asked.part());
        Source source = asked.via() == null ? null : sources.get(asked.via());
        if (source == null || joins && !asked.has("ride")) {
            return line(asked, "LACK", joins ? "tell=joined" : "-", new byte[0]);
        }
        try {
            long from = System.nanoTime();
            Given given = fills.await(asked.part(), asked.limitMs(), () -> {
                Given fresh = source.give(asked);
                if (asked.tier() > 0) {
                    copies.put(asked.part(), fresh.copy());
                }
                return fresh;
            });
            long lag = (System.nanoTime() - from) / 1_000_000;
            String tells = joins ? "joined" : given.byOrigin() ? "via_origin" : "filled";
            return line(asked, "DONE", fields(tells, given.copy()) + ",lag=" + lag, BODY);
        } catch (Withheld e) {
            return line(asked, e.word, "tell=" + e.tells, new byte[0]);
        }
    }

    static String fields(String tells, Copy copy) {
        return "tell=" + tells + ",tag=" + copy.tag() + ",minted=" + copy.mintedMs();
    }

    static byte[] line(Asked asked, String word, String fields, byte[] body) {
        String text = asked.trace() + " " + word + " " + fields + " " + body.length + "\r\n";
        return (text + new String(body, StandardCharsets.ISO_8859_1) + "\r\n").getBytes(StandardCharsets.ISO_8859_1);
    }
}
