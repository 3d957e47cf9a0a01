package magpiewheel.resp;

import java.io.IOException;
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

    /** Creates a sender; {@code onWriteFailed} is called when a response could not be written completely. */
    ResponseSender(
            ResponseWriter writer,
            Shared shared,
            ClientSocket socket,
            ConnectionActivity activity,
            Runnable onWriteFailed) {
        this.writer = writer;
        this.shared = shared;
        this.socket = socket;
        this.activity = activity;
        this.onWriteFailed = onWriteFailed;
    }

    /** Sends the final response of a request. */
    void respond(long tag, PendingRequest request, Response response) {
        int profile = request.clientRequest().classIndex();
        recordOutcome(profile, response.outcome());
        boolean complete = tryWrite(() -> writer.write(tag, response));
        notifyListener(request.clientRequest(), profile, response, request.receivedAtUs(), complete);
    }

    /** Fails a request that is still open in the engine. */
    void fail(long tag, PendingRequest request, String reason) {
        log(EventLog.Event.REQUEST_FAILED, request.clientRequest().trace(), tag, reason);
        respond(tag, request, Response.failed());
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
        boolean complete = tryWrite(() -> writer.write(tag, response));
        notifyListener(ask, profile, response, shared.clock().now(), complete);
    }

    /** Fails a request whose fields are invalid, with the fields and the body of the answer. */
    void failInvalid(RespParser.Frame frame, int profile, long now, String fields, String body) {
        log(EventLog.Event.REQUEST_FAILED, frame.trace(), frame.tag(), "invalid");
        recordOutcome(profile, PendingRequest.Outcome.FAILED);
        boolean complete = tryWrite(() -> writer.write(frame.tag(), "FAILED", fields, body));
        notifyListener(null, profile, Response.failed(), now, complete);
    }

    /** Sends an answer that is not counted as that of a request. */
    void write(long tag, String word, String fields) {
        tryWrite(() -> writer.write(tag, word, fields, ""));
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
            PendingRequest.ClientRequest ask, int profile, Response response, long receivedAtUs, boolean complete) {
        if (shared.responseListener() != ResponseListener.NONE) {
            shared.responseListener()
                    .responseSent(
                            socket.addresses(), ask, profile, response, receivedAtUs, writer.bytesWritten(), complete);
        }
    }

    private interface WriteOperation {
        void run() throws IOException;
    }

    /** Returns false if the response could not be written completely. */
    private boolean tryWrite(WriteOperation operation) {
        try {
            operation.run();
            return true;
        } catch (IOException e) {
            onWriteFailed.run();
            return false;
        } finally {
            activity.touch();
        }
    }
}
