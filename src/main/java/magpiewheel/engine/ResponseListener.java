package magpiewheel.engine;

/** Sees every answer once it was written to its client. Called on the client's actor, so it must not wait. */
public interface ResponseListener {
    /** One that sees nothing. */
    ResponseListener NONE = (addresses, request, classIndex, response, receivedAtUs, bytesSent, complete) -> {};

    /**
     * An answer went out: {@code bytesSent} of it were given to the socket, frame included; {@code complete} says
     * whether that was all. {@code request} is null for what was turned away before its fields were read,
     * {@code classIndex} then negative if unknown.
     */
    void responseSent(
            PendingRequest.ConnectionAddresses addresses,
            PendingRequest.ClientRequest request,
            int classIndex,
            PendingRequest.Response response,
            long receivedAtUs,
            long bytesSent,
            boolean complete);
}
