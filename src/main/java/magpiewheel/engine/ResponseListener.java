package magpiewheel.engine;

/**
 * Receives every response once it was written to its client. Called on the client connection's actor, so it must not
 * block.
 */
public interface ResponseListener {
    /** A listener that does nothing. */
    ResponseListener NONE = (addresses, request, classIndex, response, receivedAtUs, bytesSent, complete) -> {};

    /**
     * A response was written. {@code bytesSent} is the number of bytes given to the socket, including the frame;
     * {@code complete} tells whether that was all of it. {@code request} is null if the request was rejected before its
     * fields were read, and {@code classIndex} is then negative if unknown.
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
