package magpiewheel.resp;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;

/** The byte stream of one client connection. No method blocks. */
public interface ClientTransport {
    /** Receives what becomes possible on the transport; both methods are called on the poller's thread. */
    interface ReadinessHandler {
        /** Bytes or the end of the stream may be read. */
        void onReadable();

        /** Bytes may be written; called once for each {@link #awaitWritable}. */
        void onWritable();
    }

    /** Starts reporting readiness to the handler, on the poller's thread. */
    void open(ClientPoller poller, ReadinessHandler handler) throws IOException;

    /** Reads into the buffer; returns the number of bytes, 0 if none are there, or -1 at the end of the stream. */
    int read(ByteBuffer target) throws IOException;

    /** Writes from the buffer; returns the number of bytes, 0 if the send buffer is full. */
    int write(ByteBuffer source) throws IOException;

    /** Sets whether the handler hears of bytes to read. */
    void readable(boolean report);

    /** Lets the handler hear, once, that bytes may be written. */
    void awaitWritable();

    /** Whether bytes have been received that nobody has read. */
    boolean hasUnread();

    /** Ends this side of the stream. */
    void shutdownOutput() throws IOException;

    /** Closes the connection; later calls have no effect. */
    void close();

    /** Returns the address of this side; null if it is no longer known. */
    InetSocketAddress localAddress();

    /** Returns the client's address; null if it is no longer known. */
    InetSocketAddress remoteAddress();
}
