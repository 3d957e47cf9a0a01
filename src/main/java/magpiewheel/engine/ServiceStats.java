package magpiewheel.engine;

import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLongArray;

/** The figures shown to operators. Thread-safe: no update or read waits for an actor. */
public final class ServiceStats {
    private static final String PREFIX = "gw.";
    private static final List<String> OUTCOMES = List.of("success", "busy", "failure");
    private final List<String> classes;
    private final AtomicLongArray outcomeCounts;
    private final Counters counters;
    private volatile int listedEndpoints;
    private volatile int avoidedEndpoints;
    private volatile int partitionVerdict;
    private volatile int runningPeers;
    private volatile Map<String, Long> optionalFigures = Map.of();

    /** Creates the figures for request classes with these names. */
    public ServiceStats(List<String> classes, Counters counters) {
        this.classes = classes;
        this.counters = counters;
        this.outcomeCounts = new AtomicLongArray(classes.size() * OUTCOMES.size());
    }

    /** Counts a request whose final response was given to its client. */
    public void requestEnded(int classIndex, PendingRequest.Outcome outcome) {
        int outcomeIndex = switch (outcome) {
            case SERVED, UNCHANGED -> 0;
            case REJECTED -> 1;
            case FAILED -> 2;
        };
        outcomeCounts.incrementAndGet(classIndex * OUTCOMES.size() + outcomeIndex);
    }

    /** Sets how many endpoints are listed, and how many of them currently receive no new requests. */
    void endpoints(int listed, int avoided) {
        listedEndpoints = listed;
        avoidedEndpoints = avoided;
    }

    /**
     * Sets the partition verdict of this router's membership view (0 complete, 1 partial, 2 isolated) and the number of
     * running peers that it knows.
     */
    void membership(int verdict, int running) {
        partitionVerdict = verdict;
        runningPeers = running;
    }

    /** Sets the figures of the routing policy's features that are off by default. */
    void optionalFigures(Map<String, Long> figures) {
        optionalFigures = figures;
    }

    /** Returns all figures, one per line. */
    public String format(int inFlight) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < outcomeCounts.length(); i++) {
            appendLine(
                    text,
                    OUTCOMES.get(i % OUTCOMES.size()) + "." + classes.get(i / OUTCOMES.size()),
                    outcomeCounts.get(i));
        }
        appendLine(text, "backend_calls", counters.get(Counter.WRITTEN));
        appendLine(text, "inflight", inFlight);
        appendLine(text, "hosts_listed", listedEndpoints);
        appendLine(text, "hosts_down", avoidedEndpoints);
        appendLine(text, "fleet_verdict", partitionVerdict);
        appendLine(text, "fleet_heard", runningPeers);
        appendLine(text, "hinted", counters.get(Counter.HINTED));
        appendLine(text, "refused_by_hint", counters.get(Counter.REFUSED_BY_HINT));
        appendLine(text, "aged", counters.get(Counter.AGED));
        optionalFigures.forEach((name, value) -> appendLine(text, name, value));
        appendLine(text, "reconfig_ok", counters.get(Counter.RELOADS));
        appendLine(text, "reconfig_failed", counters.get(Counter.RELOADS_FAILED));
        return text.toString();
    }

    private static void appendLine(StringBuilder text, String name, long value) {
        text.append(PREFIX).append(name).append('=').append(value).append('\n');
    }
}
