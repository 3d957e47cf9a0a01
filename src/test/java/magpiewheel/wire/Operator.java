package magpiewheel.wire;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/** A caller of the admin server. */
final class Operator {
    private final InetSocketAddress admin;

    Operator(InetSocketAddress admin) {
        this.admin = admin;
    }

    Socket connect() throws IOException {
        Socket socket = new Socket(admin.getAddress(), admin.getPort());
        socket.setSoTimeout((int) Fleet.WAIT_MS);
        return socket;
    }

    /** All that is answered to these bytes. */
    String raw(String text) throws IOException {
        try (Socket socket = connect()) {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        }
    }

    String call(String method, String path) throws IOException {
        return raw(method + " " + path + " HTTP/1.1\r\nHost: front\r\n\r\n");
    }

    boolean yes(String method, String path) throws IOException {
        return call(method, path).startsWith("HTTP/1.1 2");
    }

    Map<String, Long> figures() throws IOException {
        Map<String, Long> all = new HashMap<>();
        String text = call("GET", "/admin/stats");
        text.substring(text.indexOf("\r\n\r\n") + 4)
                .lines()
                .forEach(line -> all.put(
                        line.substring(0, line.indexOf('=')), Long.parseLong(line.substring(line.indexOf('=') + 1))));
        return all;
    }
}
