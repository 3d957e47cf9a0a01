package magpiewheel.upstream;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** An endpoint whose connections the test accepts, reads and writes itself. */
final class ScriptedEndpoint implements AutoCloseable {
    private static final int WAIT_MS = 20_000;
    private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());

    ScriptedEndpoint() throws IOException {
        listener.setSoTimeout(WAIT_MS);
    }

    /** One accepted connection. */
    static final class Connection implements AutoCloseable {
        private final Socket socket;
        private final BufferedReader in;

        private Connection(Socket socket) throws IOException {
            this.socket = socket;
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(WAIT_MS);
            in = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
        }

        /** The next line that is not empty; null at the end of the stream. */
        String next() throws IOException {
            String line = in.readLine();
            while (line != null && line.isEmpty()) {
                line = in.readLine();
            }
            return line;
        }

        void write(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        void done(String id, String tag) throws IOException {
            write(id + " DONE tell=hit,tag=" + tag + ",minted=1 3\r\nabc\r\n");
        }

        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    Connection accept() throws IOException {
        return new Connection(listener.accept());
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
