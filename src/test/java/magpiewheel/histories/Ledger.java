package magpiewheel.histories;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** What stand-ins were asked for and what they sent, by the trace of the request. */
final class Ledger {
    /** An answer as a stand-in sent it: with a body or as `KEEP`, and what the note told. */
    record Sent(String trace, String node, boolean keep, String note, Copy copy, long atMs) {}

    private final Map<String, List<Sent>> sent = new HashMap<>();
    private final Map<String, Integer> came = new HashMap<>();
    private final Map<Long, List<Long>> purges = new HashMap<>();

    /** A request has come to a stand-in. */
    synchronized void came(String trace) {
        came.merge(trace, 1, Integer::sum);
    }

    /** A stand-in is about to send an answer. */
    synchronized void sends(Sent answer) {
        sent.computeIfAbsent(answer.trace(), key -> new ArrayList<>()).add(answer);
    }

    /** An object was purged at a time, of which every board told at once. */
    synchronized void purged(long object, long atMs) {
        purges.computeIfAbsent(object, key -> new ArrayList<>()).add(atMs);
    }

    /** The last purge of an object up to a time; -1 without one. */
    synchronized long purgedBy(long object, long ms) {
        return purges.getOrDefault(object, List.of()).stream()
                .filter(at -> at <= ms)
                .mapToLong(Long::longValue)
                .max()
                .orElse(-1);
    }

    /** Requests under a trace that came to stand-ins. */
    synchronized int asked(String trace) {
        return came.getOrDefault(trace, 0);
    }

    /** What was sent under a trace. */
    synchronized List<Sent> of(String trace) {
        return List.copyOf(sent.getOrDefault(trace, List.of()));
    }

    /** All that was sent. */
    synchronized List<Sent> all() {
        return sent.values().stream().flatMap(List::stream).toList();
    }
}
