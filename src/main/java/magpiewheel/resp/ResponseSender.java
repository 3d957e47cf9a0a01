package magpiewheel.resp;

import java.io.IOException;
import java.util.function.Consumer;
import magpiewheel.engine.EventLog;
import magpiewheel.engine.PendingRequest;
import magpiewheel.engine.PendingRequest.Response;
import magpiewheel.engine.ResponseListener;
import magpiewheel.resp.RespServer.Shared;

/**
 * Sends the responses of one connection and reports each to the statistics, the response listener and, if the
 * connection itself decided on it, the event log. Used by the connection's actor.
 */
final class ResponseSender {
    private final ResponseWriter writer;
    private final Shared shared;
    private final ClientSocket socket;
    private final ConnectionActivity activity;
    private final Runnable onWriteFailed;
    private final Runnable onProgress;

    /**
     * Creates a sender; {@code onWriteFailed} is called when the connection accepts no more, {@code onProgress} after
     * each attempt to write.
     */
    ResponseSender(
            ResponseWriter writer,
            Shared shared,
            ClientSocket socket,
            ConnectionActivity activity,
            Runnable onWriteFailed,
            Runnable onProgress) {
        this.writer = writer;
        this.shared = shared;
        this.socket = socket;
        this.activity = activity;
        this.onWriteFailed = onWriteFailed;
        this.onProgress = onProgress;
    }

    /**
     * Sends the final response of a request and takes over the reference to its body. {@code onEnd} is called once it
     * is written, or with false if that failed.
     */
    void respond(long tag, PendingRequest request, Response response, Consumer<Boolean> onEnd) {
        int profile = request.clientRequest().classIndex();
        recordOutcome(profile, response.outcome());
        write(() -> writer.write(tag, response, (complete, bytes) -> {
            notifyListener(request.clientRequest(), profile, response, request.receivedAtUs(), bytes, complete);
            ended(complete, onEnd);
        }));
    }

    /** Fails a request that is still open in the engine. */
    void fail(long tag, PendingRequest request, String reason) {
        log(EventLog.Event.REQUEST_FAILED, request.clientRequest().trace(), tag, reason);
        respond(tag, request, Response.failed(), complete -> {});
    }

    /** Rejects a request whose fields were not parsed. */
    void reject(RespParser.Frame frame, int profile, String reason) {
        reject(frame.tag(), frame.trace(), profile, null, reason);
    }

    /** Rejects a request that never reached the engine. */
    void reject(long tag, PendingRequest.ClientRequest ask, String reason) {
        reject(tag, ask.trace(), ask.classIndex(), ask, reason);
    }

    private void reject(long tag, String trace, int profile, PendingRequest.ClientRequest ask, String reason) {
        log(EventLog.Event.REQUEST_REJECTED, trace, tag, reason);
        recordOutcome(profile, PendingRequest.Outcome.REJECTED);
        Response response = Response.rejected(shared.engine().retryAfterUs());
        long now = shared.clock().now();
        write(() -> writer.write(tag, response, (complete, bytes) -> {
            notifyListener(ask, profile, response, now, bytes, complete);
            ended(complete, ignored -> {});
        }));
    }

    /** Fails a request whose fields are invalid, with the fields and the body of the answer. */
    void failInvalid(RespParser.Frame frame, int profile, long now, String fields, String body) {
        log(EventLog.Event.REQUEST_FAILED, frame.trace(), frame.tag(), "invalid");
        recordOutcome(profile, PendingRequest.Outcome.FAILED);
        write(() -> writer.write(frame.tag(), "FAILED", fields, body, (complete, bytes) -> {
            notifyListener(null, profile, Response.failed(), now, bytes, complete);
            ended(complete, ignored -> {});
        }));
    }

    /** Sends an answer that is not counted as that of a request. */
    void write(long tag, String word, String fields) {
        write(() -> writer.write(tag, word, fields, "", (complete, bytes) -> ended(complete, ignored -> {})));
    }

    /** Goes on writing what the client has not accepted yet. */
    void flush() {
        write(writer::flush);
    }

    private void ended(boolean complete, Consumer<Boolean> onEnd) {
        activity.touch();
        onEnd.accept(complete);
    }

    private void log(EventLog.Event event, String trace, long tag, String reason) {
        EventLog.log(event, "trace=" + trace + " tag=" + tag + " client=" + socket.remoteName() + " reason=" + reason);
    }

    private void recordOutcome(int profile, PendingRequest.Outcome outcome) {
        if (profile >= 0) {
            shared.stats().requestEnded(profile, outcome);
        }
    }

    private void notifyListener(
            PendingRequest.ClientRequest ask,
            int profile,
            Response response,
            long receivedAtUs,
            long bytes,
            boolean complete) {
        if (shared.responseListener() != ResponseListener.NONE) {
            shared.responseListener()
                    .responseSent(socket.addresses(), ask, profile, response, receivedAtUs, bytes, complete);
        }
    }

    private interface WriteOperation {
        void run() throws IOException;
    }

    private void write(WriteOperation operation) {
        try {
            operation.run();
        } catch (IOException e) {
            onWriteFailed.run();
        }
        onProgress.run();
    }
}
