package magpiewheel.routing;

import java.util.ArrayList;
import java.util.List;

/** Records the actions that the router under test requests, and performs none of them. */
final class RecordingActions implements RoutingActions {
    record StartedAttempt(long request, long node, AttemptPlan plan) {}

    final List<StartedAttempt> attempts = new ArrayList<>();
    final List<String> calls = new ArrayList<>();
    final List<byte[]> peerMessages = new ArrayList<>();
    final List<Long> rejected = new ArrayList<>();
    final List<Long> failed = new ArrayList<>();
    final List<Long> servedLocally = new ArrayList<>();

    @Override
    public void startAttempt(long request, long node, AttemptPlan plan) {
        attempts.add(new StartedAttempt(request, node, plan));
        calls.add("startAttempt " + request + " " + node + " " + plan);
    }

    @Override
    public void cancelAttempt(long request, int attempt) {
        calls.add("cancelAttempt " + request + " " + attempt);
    }

    @Override
    public void serveLocalCopy(long request) {
        servedLocally.add(request);
        calls.add("serveLocalCopy " + request);
    }

    @Override
    public void reject(long request, long backoffUs) {
        rejected.add(request);
        calls.add("reject " + request + " " + backoffUs);
    }

    @Override
    public void fail(long request) {
        failed.add(request);
        calls.add("fail " + request);
    }

    @Override
    public void setTimer(long atUs, long handle) {
        calls.add("setTimer " + atUs + " " + handle);
    }

    @Override
    public void checkHealth(long node) {
        calls.add("checkHealth " + node);
    }

    @Override
    public void sendToPeer(int recipient, byte[] message) {
        peerMessages.add(message);
        calls.add("sendToPeer " + recipient + " " + message.length);
    }

    @Override
    public void subscribe(boolean on) {
        calls.add("subscribe " + on);
    }

    @Override
    public void fetchEndpointList() {
        calls.add("fetchEndpointList");
    }

    @Override
    public void log(String line) {
        calls.add("log " + line);
    }

    StartedAttempt lastAttempt() {
        return attempts.get(attempts.size() - 1);
    }
}
