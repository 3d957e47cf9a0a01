import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client's connection to a front. */
final class Client implements AutoCloseable {
    record Answer(String tag, String word, String fields, byte[] body) {
        String field(String name) {
            for (String field : fields.split(",")) {
                if (field.startsWith(name + "=")) {
                    return field.substring(name.length() + 1);
                }
            }
            return "";
        }
    }

    final Socket socket = new Socket();
    private final InputStream in;

    Client(InetSocketAddress front) throws IOException {
        socket.setTcpNoDelay(true);
        socket.connect(front, 2_000);
        socket.setSoTimeout(15_000);
        in = new BufferedInputStream(socket.getInputStream());
    }

    void send(Object... parts) throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(("*" + parts.length + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        for (Object part : parts) {
            byte[] bytes =
                    part instanceof byte[] given ? given : part.toString().getBytes(StandardCharsets.ISO_8859_1);
            all.write(("$" + bytes.length + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            all.write(bytes);
            all.write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
        }
        socket.getOutputStream().write(all.toByteArray());
    }

    /** The next answer; null at the end of the connection. */
    Answer answer() throws IOException {
        int first = in.read();
        if (first < 0) {
            return null;
        }
        int parts = number();
        String[] texts = {"", "", ""};
        byte[] body = new byte[0];
        for (int i = 0; i < parts; i++) {
            in.read();
            byte[] bytes = in.readNBytes(number());
            in.skipNBytes(2);
            if (i < 3) {
                texts[i] = new String(bytes, StandardCharsets.ISO_8859_1);
            } else {
                body = bytes;
            }
        }
        return new Answer(texts[0], texts[1], texts[2], body);
    }

    private int number() throws IOException {
        StringBuilder digits = new StringBuilder();
        for (int next = in.read(); next != '\r'; next = in.read()) {
            if (next < 0) {
                throw new EOFException("the connection ended within an answer");
            }
            digits.append((char) next);
        }
        in.read();
        return Integer.parseInt(digits.toString());
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
