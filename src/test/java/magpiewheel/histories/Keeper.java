package magpiewheel.histories;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import magpiewheel.wire.StandInNode;

/**
 * A cache or a parent that keeps copies. It errs as real ones do: it counts ages by its own clock, which may be off;
 * whoever may join a fill that is on its way gets what comes of it, however old; what comes last is kept, be it older
 * than what was held; it drops copies unseen; and a fill that a parent joined for it is told as one from the origin.
 */
final class Keeper implements StandInNode.Script {
    private static final long FRESH_MS = 20_000;
    private static final double DROPS = 0.001;
    private static final String WRITE = "apply";

    /** A fill and what it told. */
    private record Fill(Copy copy, String note) {}

    private final String name;
    private final Origin origin;
    private final Ledger ledger;
    private final Function<String, Keeper> others;
    private final Pace pace;
    private final Map<Long, Copy> held = new HashMap<>();
    private final Map<Long, CompletableFuture<Fill>> under = new HashMap<>();
    private volatile long offMs;
    private volatile long thereMs;
    private volatile long backMs;

    /** A keeper; the function gives the one behind a name, null for the origin. */
    Keeper(String name, Origin origin, Ledger ledger, Function<String, Keeper> others, long seed) {
        this.name = name;
        this.origin = origin;
        this.ledger = ledger;
        this.others = others;
        this.pace = new Pace(seed);
    }

    /** Its clock is so many milliseconds ahead of the origin's. */
    void clockOff(long ms) {
        offMs = ms;
    }

    /** Requests take so long to it, and its answers so long back. */
    void away(long there, long back) {
        thereMs = there;
        backMs = back;
    }

    /** It no longer holds the object. */
    synchronized void drop(long object) {
        held.remove(object);
    }

    /** It comes back empty. */
    synchronized void clear() {
        held.clear();
    }

    @Override
    public byte[] answer(String line, byte[] body) {
        if (!line.startsWith("serve ")) {
            return null;
        }
        Served asked = new Served(line);
        ledger.came(asked.trace());
        Pace.sleep(thereMs);
        byte[] answer = answered(asked);
        Pace.sleep(backMs);
        return answer;
    }

    private byte[] answered(Served asked) {
        pace.go();
        if (asked.text("cls", "").equals(WRITE)) {
            Copy written = origin.write(asked.object(), asked.text("nonce", null));
            pace.go();
            return sends(asked, new Fill(written, "via_origin"));
        }
        Fill found = find(
                asked.object(),
                asked.number("fresh", 0),
                asked.may("ride"),
                asked.text("via", name),
                asked.may("have-only"),
                !asked.may("through"));
        if (found.copy() == null) {
            return (asked.trace() + " LACK " + (found.note() == null ? "-" : "tell=" + found.note()) + " 0\r\n\r\n")
                    .getBytes();
        }
        return sends(asked, found);
    }

    private byte[] sends(Served asked, Fill found) {
        boolean keep = found.copy().tag().equals(asked.text("known", null));
        ledger.sends(new Ledger.Sent(asked.trace(), name, keep, found.note(), found.copy(), origin.ms()));
        String fields = "tell=" + found.note() + ",tag=" + found.copy().tag() + ",minted="
                + found.copy().mintedMs();
        return keep
                ? (asked.trace() + " KEEP " + fields + " 0\r\n\r\n").getBytes()
                : StandInNode.done(
                        "serve " + asked.trace(), fields, found.copy().bytes());
    }

    /** What it answers with: held, joined or filled from the source; without a copy it lacks the object. */
    private Fill find(long object, long freshMs, boolean ride, String via, boolean haveOnly, boolean parentKeeps) {
        long most = freshMs > 0 ? freshMs : FRESH_MS;
        CompletableFuture<Fill> mine = new CompletableFuture<>();
        CompletableFuture<Fill> other;
        synchronized (this) {
            Copy copy = held.get(object);
            if (copy != null && origin.ms() + offMs - copy.mintedMs() <= most) {
                if (pace.chance(DROPS)) {
                    held.remove(object);
                }
                return new Fill(copy, "hit");
            }
            if (via.equals(name)) {
                return new Fill(null, null);
            }
            other = under.get(object);
            if (other == null) {
                under.put(object, mine);
            }
        }
        if (other != null && ride) {
            Fill joined = other.join();
            return joined.copy() == null ? joined : new Fill(joined.copy(), "joined");
        }
        Fill fill = new Fill(null, "src_broke");
        try {
            fill = fill(object, most, via, haveOnly, parentKeeps);
        } finally {
            synchronized (this) {
                under.remove(object, mine);
                if (fill.copy() != null) {
                    held.put(object, fill.copy());
                }
            }
            mine.complete(fill);
        }
        return fill;
    }

    private Fill fill(long object, long freshMs, String via, boolean haveOnly, boolean parentKeeps) {
        Keeper source = others.apply(via);
        pace.go();
        try {
            return source == null
                    ? new Fill(origin.give(object), "via_origin")
                    : source.forChild(object, freshMs, haveOnly, parentKeeps);
        } finally {
            pace.go();
        }
    }

    /** As a parent: what it holds that is young enough, else from the origin, joining who asks for the same. */
    private Fill forChild(long object, long freshMs, boolean haveOnly, boolean keeps) {
        Fill found = find(object, freshMs, true, haveOnly ? name : "origin", false, false);
        if (!keeps && found.copy() != null && !found.note().equals("hit")) {
            drop(object);
        }
        return found.copy() == null
                ? new Fill(null, "src_lacks")
                : new Fill(found.copy(), found.note().equals("hit") ? "filled" : "via_origin");
    }

    /** The line of a request. */
    record Served(String trace, Map<String, String> fields) {
        Served(String line) {
            this(line.split(" ")[1], read(line.split(" ")[2]));
        }

        private static Map<String, String> read(String fields) {
            Map<String, String> all = new HashMap<>();
            Arrays.stream(fields.split(","))
                    .forEach(field ->
                            all.put(field.substring(0, field.indexOf('=')), field.substring(field.indexOf('=') + 1)));
            return all;
        }

        long object() {
            return Long.parseUnsignedLong(fields.get("item"), 16);
        }

        String text(String field, String absent) {
            return fields.getOrDefault(field, absent);
        }

        long number(String field, long absent) {
            return fields.containsKey(field) ? Long.parseLong(fields.get(field)) : absent;
        }

        boolean may(String option) {
            return List.of(text("opts", "").split("\\+")).contains(option);
        }
    }
}
