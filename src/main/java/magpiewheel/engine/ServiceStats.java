package magpiewheel.engine;

import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLongArray;

/** What operators are shown. Any thread may add to it and read it: nobody waits for an actor. */
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

    /** Figures of the classes with these names. */
    public ServiceStats(List<String> classes, Counters counters) {
        this.classes = classes;
        this.counters = counters;
        this.outcomeCounts = new AtomicLongArray(classes.size() * OUTCOMES.size());
    }

    /** A client was given the final answer of a request. */
    public void requestEnded(int classIndex, PendingRequest.Outcome outcome) {
        int outcomeIndex = switch (outcome) {
            case SERVED, UNCHANGED -> 0;
            case REJECTED -> 1;
            case FAILED -> 2;
        };
        outcomeCounts.incrementAndGet(classIndex * OUTCOMES.size() + outcomeIndex);
    }

    /** How many nodes the list has, and how many of them get no new work now. */
    void endpoints(int listed, int avoided) {
        listedEndpoints = listed;
        avoidedEndpoints = avoided;
    }

    /**
     * What the front thinks of its view of the fleet (0 whole, 1 partial, 2 alone), and how many others it hears of.
     */
    void membership(int verdict, int running) {
        partitionVerdict = verdict;
        runningPeers = running;
    }

    /** What the module shows of parts that are off by preset. */
    void optionalFigures(Map<String, Long> figures) {
        optionalFigures = figures;
    }

    /** All of them, a line each. */
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
