package magpiewheel.dns;

import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import magpiewheel.engine.Counter;
import magpiewheel.engine.Counters;
import magpiewheel.engine.LingeringClose;

/**
 * One resolver's TCP connection, on a thread of its own: queries are answered one after another. When this side ends
 * the connection, what has arrived is still answered, for a while; then the connection is half-closed, and a query that
 * crosses the half-close is discarded, for the resolver to repeat (RFC 7766, 6.2.4).
 */
final class TcpConnection {
    /** ns; how long a resolver may leave its connection unused, take to write one query, or to take one response. */
    private static final long TIMEOUT_NS = TimeUnit.SECONDS.toNanos(5);
    /** ns; how long a resolver has to close its side after the half-close. */
    private static final long CLOSE_TIMEOUT_NS = TimeUnit.SECONDS.toNanos(1);
    /** ns; a terminating process gives a resolver this long to see the half-close: closing over a query resets. */
    private static final long SEE_CLOSE_NS = TimeUnit.MILLISECONDS.toNanos(100);
    /** ns; how long a connection that was just made has for its first query when it is to end. */
    private static final long FIRST_QUERY_NS = TimeUnit.MILLISECONDS.toNanos(100);
    /** ns; how long queries that keep arriving are answered after the connection was to end. */
    private static final long MAX_ENDING_NS = TimeUnit.SECONDS.toNanos(1);
    /** ns; a resolver that takes nothing for this long does not keep a terminating process. */
    private static final long MAX_PAUSE_NS = TimeUnit.SECONDS.toNanos(1);

    private static final long RESPONSE_TIMEOUT_MS = 1_000;

    /** What the connection waits for. */
    private enum Phase {
        /** The first byte of a query. */
        IDLE,
        /** The rest of a query, its response, or a resolver that takes the response. */
        ANSWERING,
        /** The resolver's end of the stream, after the half-close. */
        CLOSING
    }

    private final Socket socket;
    private final QueryResolver resolver;
    private final Counters counters;
    private Phase phase = Phase.IDLE;
    private long phaseSince = System.nanoTime();
    /** Whether a query has come. */
    private boolean used;
    /** ns; since when the connection is to end; 0 while it is not. */
    private long endingSince;

    TcpConnection(Socket socket, QueryResolver resolver, Counters counters) {
        this.socket = socket;
        this.resolver = resolver;
        this.counters = counters;
    }

    /** Serves the connection until either side ends it. */
    void serve() {
        try (socket) {
            socket.setTcpNoDelay(true);
            DataInputStream in = new DataInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (int first = in.read(); first >= 0; first = in.read()) {
                if (!enter(Phase.ANSWERING)) {
                    LingeringClose.drain(in);
                    return;
                }
                byte[] query = new byte[first << Byte.SIZE | in.readUnsignedByte()];
                in.readFully(query);
                if (!answer(query, out)) {
                    return;
                }
                answered(in);
            }
        } catch (IOException | ExecutionException | TimeoutException e) {
            // Closed, or the engine did not respond in time: the resolver sees the connection close.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Writes the response to a query; returns false if it gets none. */
    private boolean answer(byte[] query, OutputStream out)
            throws IOException, InterruptedException, ExecutionException, TimeoutException {
        CompletableFuture<byte[]> response = new CompletableFuture<>();
        if (!resolver.resolve(query, query.length, true, response::complete)) {
            return false;
        }
        byte[] bytes = response.get(RESPONSE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        byte[] framed = new byte[Short.BYTES + bytes.length];
        framed[0] = (byte) (bytes.length >>> Byte.SIZE);
        framed[1] = (byte) bytes.length;
        System.arraycopy(bytes, 0, framed, Short.BYTES, bytes.length);
        out.write(framed);
        counters.add(Counter.DNS_ANSWERS);
        return true;
    }

    private synchronized boolean enter(Phase next) {
        if (phase == Phase.CLOSING) {
            return false;
        }
        phase = next;
        phaseSince = System.nanoTime();
        used = true;
        return true;
    }

    /** A query is answered: ends the connection if that is due and no other has arrived. */
    private synchronized void answered(InputStream in) throws IOException {
        enter(Phase.IDLE);
        if (endingSince != 0 && (in.available() == 0 || System.nanoTime() - endingSince > MAX_ENDING_NS)) {
            halfClose();
        }
    }

    private void halfClose() throws IOException {
        enter(Phase.CLOSING);
        socket.shutdownOutput();
    }

    /** Ends the connection once the queries that have arrived, or the first one, are answered. */
    synchronized void end() {
        if (endingSince != 0) {
            return;
        }
        endingSince = System.nanoTime() | 1;
        try {
            if (phase == Phase.IDLE && used && socket.getInputStream().available() == 0) {
                halfClose();
            }
        } catch (IOException e) {
            // Closed already.
        }
    }

    /**
     * Whether the connection, which is to end, has queries that wait for their responses, responses for a resolver that
     * takes them, or a resolver that may not have seen the end yet.
     */
    synchronized boolean isEnding(long now) {
        return switch (phase) {
            case IDLE -> now - endingSince < FIRST_QUERY_NS;
            case ANSWERING -> now - phaseSince < MAX_PAUSE_NS;
            case CLOSING -> now - phaseSince < SEE_CLOSE_NS;
        };
    }

    /** Closes the connection if the resolver has taken too long over what is due from it. */
    synchronized void closeIfOverdue(long now) {
        boolean neverUsed = endingSince != 0 && phase == Phase.IDLE && now - endingSince > FIRST_QUERY_NS;
        if (neverUsed || now - phaseSince > (phase == Phase.CLOSING ? CLOSE_TIMEOUT_NS : TIMEOUT_NS)) {
            close();
        }
    }

    /** Closes the connection at once; a blocked read or write ends. */
    void close() {
        try {
            socket.close();
        } catch (IOException e) {
            // The socket is closed even if close() fails.
        }
    }
}
