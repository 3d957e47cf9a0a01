package magpiewheel.flows;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetSocketAddress;
import magpiewheel.core.Call;
import magpiewheel.core.Counter;
import magpiewheel.core.Counters;
import org.junit.jupiter.api.Test;

class FlowExporterTest {
    /** No request may wait for the export: with nobody working the mailbox off, flows are dropped and counted. */
    @Test
    void aFullMailboxDropsFlows() throws IOException {
        Counters counters = new Counters();
        FlowExporter exporter = new FlowExporter(new InetSocketAddress("127.0.0.1", 9), 1, 1_000, counters);
        Call.Asker asker = new Call.Asker() {
            @Override
            public void answer(Call call, Call.Answer answer) { }

            @Override
            public Call.Ends ends() {
                return new Call.Ends(1, 2, 3, 4);
            }
        };
        for (int i = 0; i < 1_030; i++) {
            exporter.answered(new Call(null, asker, 0, 1), Call.Answer.failed(), 1);
        }
        assertEquals(6, counters.get(Counter.FLOWS_DROPPED));
    }
}
