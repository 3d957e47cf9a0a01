package magpiewheel.flows;

import java.io.IOException;
import java.io.OutputStream;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import magpiewheel.engine.Actor;

/**
 * One transport session with a collector. Sending may wait, at most until {@link #close} is called by another thread.
 */
abstract class Session {
    private static final int CONNECT_MS = 1_000;
    private static final int SEND_BUFFER = 1 << 16;

    /** Gives a message to the network. */
    abstract void send(ByteBuffer message) throws IOException;

    /** Whether the other side was seen to end it. */
    abstract boolean ended();

    /** Ends it; a send that waits fails. */
    abstract void close();

    static Session open(boolean tcp, InetSocketAddress to) throws IOException {
        return tcp ? new Stream(to) : new Datagrams(to);
    }

    /** Connected, so that "port unreachable" comes back as a failure of a later send. */
    private static final class Datagrams extends Session {
        private final DatagramSocket socket;

        Datagrams(InetSocketAddress to) throws IOException {
            socket = new DatagramSocket(
                    new InetSocketAddress(to.getAddress().isLoopbackAddress() ? "127.0.0.1" : "0.0.0.0", 0));
            socket.connect(to);
        }

        @Override
        void send(ByteBuffer message) throws IOException {
            socket.send(new DatagramPacket(
                    message.array(), message.arrayOffset() + message.position(), message.remaining()));
        }

        @Override
        boolean ended() {
            return false;
        }

        @Override
        void close() {
            socket.close();
        }
    }

    /** A collector says nothing over TCP: whatever comes back, or its end, ends the session. */
    private static final class Stream extends Session {
        private final Socket socket = new Socket();
        private final OutputStream out;
        private volatile boolean ended;

        Stream(InetSocketAddress to) throws IOException {
            try {
                // What lies in the machine's buffers when a collector goes is lost uncounted: little is to lie there.
                socket.setSendBufferSize(SEND_BUFFER);
                socket.connect(to, CONNECT_MS);
                socket.setTcpNoDelay(true);
                out = socket.getOutputStream();
            } catch (IOException e) {
                socket.close();
                throw e;
            }
            Actor.daemonThread("flows-ear", this::hear).start();
        }

        private void hear() {
            try {
                socket.getInputStream().read();
            } catch (IOException e) {
                // Reset, or closed from here.
            }
            ended = true;
            close();
        }

        @Override
        void send(ByteBuffer message) throws IOException {
            out.write(message.array(), message.arrayOffset() + message.position(), message.remaining());
        }

        @Override
        boolean ended() {
            return ended;
        }

        @Override
        void close() {
            try {
                socket.close();
            } catch (IOException e) {
                // It is closed all the same.
            }
        }
    }
}
