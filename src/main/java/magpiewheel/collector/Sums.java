package magpiewheel.collector;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import magpiewheel.ipfix.Element;
import magpiewheel.ipfix.MessageReader;
import magpiewheel.records.FlowRecord;

/**
 * What was collected: flows and bytes by kind, branch, class and source, what exporters say they did not send, and
 * records that the sequence numbers show missing. At most so many lines and exporters; what is beyond is put together.
 */
public final class Sums {
    /** One line: what its flows have in common. */
    public record Line(String kind, String branch, String profile, String source) {}

    /** Flows and octets of a line. */
    public record Sum(long flows, long octets) {}

    private static final int MOST_LINES = 4_096;
    private static final int MOST_EXPORTERS = 1_024;
    private static final long SEQUENCES = 1L << 32;
    private static final Line OTHERS = new Line("others", "", "", "");
    private final Map<Line, Sum> lines = new HashMap<>();
    private final Map<String, Long> next = new HashMap<>();
    private final Map<String, Long> notSent = new HashMap<>();
    private long missing;
    private long messages;

    /** Takes a message in, of an exporter's session. */
    public synchronized void add(String exporter, MessageReader.Message message) {
        messages++;
        String domain = exporter + "/" + message.domain();
        Long expected = next.get(domain);
        if (expected != null) {
            long gap = message.sequence() - expected & SEQUENCES - 1;
            // A number from before came late: then nothing new is missing.
            missing += gap < SEQUENCES / 2 ? gap : 0;
        }
        if (message.unknownSets() == 0 && (expected != null || next.size() < MOST_EXPORTERS)) {
            next.put(domain, message.sequence() + message.records().size() & SEQUENCES - 1);
        } else {
            // How many records a set held is not known without its template.
            next.remove(domain);
        }
        message.records().forEach(data -> add(domain, data));
    }

    private void add(String domain, MessageReader.Data data) {
        Map<String, Object> values = data.values();
        if (values.get(Element.NOT_SENT_FLOWS.title) instanceof Long flows) {
            if (notSent.containsKey(domain) || notSent.size() < MOST_EXPORTERS) {
                notSent.put(domain, flows);
            }
        } else if (values.get(Element.KIND.title) instanceof Long kind
                && values.get(Element.PAYLOAD_OCTETS.title) instanceof Long octets) {
            Line line = new Line(
                    name(FlowRecord.Kind.values(), kind),
                    text(values, Element.BRANCH),
                    text(values, Element.CLASS),
                    name(FlowRecord.SourceKind.values(), values.get(Element.SOURCE_KIND.title)));
            long flows = values.get(Element.DELTA_FLOW_COUNT.title) instanceof Long many ? many : 1;
            lines.merge(
                    lines.containsKey(line) || lines.size() < MOST_LINES ? line : OTHERS,
                    new Sum(flows, octets),
                    (a, b) -> new Sum(a.flows() + b.flows(), a.octets() + b.octets()));
        }
    }

    private static String text(Map<String, Object> values, Element element) {
        return values.get(element.title) instanceof String text ? text : "";
    }

    /** The name of a number that an element of ours holds; the number itself where there is none. */
    static String name(Enum<?>[] names, Object number) {
        return number instanceof Long place && place >= 0 && place < names.length
                ? names[place.intValue()].name().toLowerCase(Locale.ROOT)
                : String.valueOf(number);
    }

    /** Sums of a kind over all lines. */
    public synchronized Sum of(FlowRecord.Kind kind) {
        String name = name(FlowRecord.Kind.values(), (long) kind.ordinal());
        return lines.entrySet().stream()
                .filter(each -> each.getKey().kind().equals(name))
                .map(Map.Entry::getValue)
                .reduce(new Sum(0, 0), (a, b) -> new Sum(a.flows() + b.flows(), a.octets() + b.octets()));
    }

    /** Flows that exporters counted as not sent. */
    public synchronized long notSent() {
        return notSent.values().stream().mapToLong(Long::longValue).sum();
    }

    /** Records that never came, by the sequence numbers. */
    public synchronized long missing() {
        return missing;
    }

    /** The lines of a table. */
    public synchronized List<String> table() {
        List<String> out = new ArrayList<>();
        out.add(String.format(
                "%-16s %-12s %-10s %-10s %12s %16s", "kind", "branch", "class", "source", "flows", "octets"));
        Map<String, Sum> sorted = new TreeMap<>();
        lines.forEach((line, sum) -> sorted.put(
                String.format("%-16s %-12s %-10s %-10s", line.kind(), line.branch(), line.profile(), line.source()),
                sum));
        sorted.forEach((line, sum) -> out.add(String.format("%s %12d %16d", line, sum.flows(), sum.octets())));
        out.add(messages + " messages, " + missing + " records missing by their numbers, " + notSent()
                + " flows not sent by the exporters' own count");
        return out;
    }
}
