package magpiewheel.flows;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import magpiewheel.core.Actor;
import magpiewheel.core.Call;
import magpiewheel.core.Counter;
import magpiewheel.core.Counters;

/**
 * Exports a flow for every answered request as IPFIX (RFC 7011) over UDP. A full mailbox drops the flow: no
 * request ever waits for the collector.
 */
public final class FlowExporter extends Actor {
    private static final int MAILBOX = 1_024;
    private static final int VERSION = 10;
    private static final int HEADER = 16;
    private static final int TEMPLATE_SET = 2;
    private static final int TEMPLATE = 256;
    /** Information elements of the template with their lengths, as IANA numbers them. */
    private static final int[][] FIELDS = {
        {152, 8}, {153, 8}, {8, 4}, {12, 4}, {7, 2}, {11, 2}, {4, 1}, {1, 8}, {136, 1}};
    private static final int RECORD = Arrays.stream(FIELDS).mapToInt(field -> field[1]).sum();
    private static final int MOST_RECORDS = 24;
    private static final int TCP = 6;
    private static final int END_OF_FLOW = 3;
    private static final long FLUSH_NS = 500_000_000L;

    private record Flow(long fromMs, long toMs, Call.Ends ends, long octets) { }

    private final DatagramSocket socket;
    private final InetSocketAddress collector;
    private final int domain;
    private final long templateEveryNs;
    private final Counters counters;
    private final List<Flow> waiting = new ArrayList<>();
    private long sequence;
    private long lastFlush = System.nanoTime();
    private long lastTemplate;
    private boolean templateSent;

    /** Exports to a collector under an observation domain. */
    public FlowExporter(InetSocketAddress collector, int domain, long templateEveryMs, Counters counters)
            throws IOException {
        super("flows", MAILBOX, counters);
        this.socket = new DatagramSocket(new InetSocketAddress(collector.getAddress().isLoopbackAddress()
                ? "127.0.0.1" : "0.0.0.0", 0));
        this.collector = collector;
        this.domain = domain;
        this.templateEveryNs = templateEveryMs * 1_000_000;
        this.counters = counters;
    }

    /** Takes a final answer that was given at a Unix microsecond. */
    public void answered(Call call, Call.Answer answer, long nowUs) {
        Call.Ends ends = call.ends();
        if (ends == null) {
            return;
        }
        Flow flow = new Flow(call.takenAt() / 1000, nowUs / 1000, ends,
                answer.body() == null ? 0 : answer.body().length());
        if (!offer(() -> waiting.add(flow))) {
            counters.add(Counter.FLOWS_DROPPED);
        }
    }

    @Override
    protected long idleUs() {
        return waiting.isEmpty() ? -1 : FLUSH_NS / 1000;
    }

    @Override
    protected void due() {
        long now = System.nanoTime();
        if (waiting.size() >= MOST_RECORDS || now - lastFlush >= FLUSH_NS) {
            lastFlush = now;
            if (!waiting.isEmpty()) {
                send(now);
            }
        }
    }

    private void send(long now) {
        ByteBuffer at = ByteBuffer.allocate(HEADER + 4 * (2 + FIELDS.length) + 4 + waiting.size() * RECORD);
        at.putShort((short) VERSION).putShort((short) 0).putInt((int) (System.currentTimeMillis() / 1000));
        at.putInt((int) sequence).putInt(domain);
        // Over UDP a template may be lost, and a collector may start late: it is sent again and again.
        if (!templateSent || now - lastTemplate >= templateEveryNs) {
            templateSent = true;
            lastTemplate = now;
            at.putShort((short) TEMPLATE_SET).putShort((short) (4 * (2 + FIELDS.length)));
            at.putShort((short) TEMPLATE).putShort((short) FIELDS.length);
            for (int[] field : FIELDS) {
                at.putShort((short) field[0]).putShort((short) field[1]);
            }
        }
        at.putShort((short) TEMPLATE).putShort((short) (4 + waiting.size() * RECORD));
        for (Flow flow : waiting) {
            // The bytes of an answer flow from the front to the client.
            at.putLong(flow.fromMs()).putLong(flow.toMs()).putInt(flow.ends().front()).putInt(flow.ends().client());
            at.putShort((short) flow.ends().frontPort()).putShort((short) flow.ends().clientPort());
            at.put((byte) TCP).putLong(flow.octets()).put((byte) END_OF_FLOW);
        }
        at.putShort(2, (short) at.position());
        // Records count as sent whether the datagram arrives or not: that is how a collector sees the loss.
        sequence += waiting.size();
        try {
            socket.send(new DatagramPacket(at.array(), at.position(), collector));
            waiting.forEach(flow -> counters.add(Counter.FLOWS));
        } catch (IOException e) {
            waiting.forEach(flow -> counters.add(Counter.FLOWS_DROPPED));
        }
        waiting.clear();
    }
}
