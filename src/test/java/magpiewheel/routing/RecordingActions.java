package magpiewheel.routing;

import java.util.ArrayList;
import java.util.List;

/** A router for tests: it writes down what the module asks for. */
final class RecordingActions implements RoutingActions {
    record Sent(long request, long node, AttemptPlan plan) {}

    final List<Sent> sent = new ArrayList<>();
    final List<String> all = new ArrayList<>();
    final List<byte[]> told = new ArrayList<>();
    final List<Long> refused = new ArrayList<>();
    final List<Long> failed = new ArrayList<>();
    final List<Long> own = new ArrayList<>();

    @Override
    public void startAttempt(long request, long node, AttemptPlan plan) {
        sent.add(new Sent(request, node, plan));
        all.add("attempt " + request + " " + node + " " + plan);
    }

    @Override
    public void cancelAttempt(long request, int attempt) {
        all.add("cancel " + request + " " + attempt);
    }

    @Override
    public void serveLocalCopy(long request) {
        own.add(request);
        all.add("own " + request);
    }

    @Override
    public void reject(long request, long backoffUs) {
        refused.add(request);
        all.add("refuse " + request + " " + backoffUs);
    }

    @Override
    public void fail(long request) {
        failed.add(request);
        all.add("fail " + request);
    }

    @Override
    public void setTimer(long atUs, long handle) {
        all.add("timer " + atUs + " " + handle);
    }

    @Override
    public void checkHealth(long node) {
        all.add("probe " + node);
    }

    @Override
    public void sendToPeer(int recipient, byte[] message) {
        told.add(message);
        all.add("tell " + recipient + " " + message.length);
    }

    @Override
    public void subscribe(boolean on) {
        all.add("subscribe " + on);
    }

    @Override
    public void fetchEndpointList() {
        all.add("fetchList");
    }

    @Override
    public void log(String line) {
        all.add("log " + line);
    }

    Sent last() {
        return sent.get(sent.size() - 1);
    }
}
