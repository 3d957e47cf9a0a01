package magpiewheel.admin;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.util.Locale;

/**
 * The parts of an HTTP/1.1 request that the admin server needs. Every length is checked before memory is allocated for
 * it.
 */
record HttpRequest(String method, String path) {
    private static final int MAX_LINE_CHARS = 1_024;
    private static final int MAX_HEADER_LINES = 64;
    private static final int MAX_BODY_BYTES = 64 * 1024;
    private static final int READ_BUFFER_BYTES = 1_024;
    private static final int MAX_LENGTH_DIGITS = 9;

    /** A plain-text response; the connection is closed after it. */
    record Response(int status, String reason, String body) {
        String text() {
            return "HTTP/1.1 " + status + " " + reason + "\r\nContent-Type: text/plain\r\nContent-Length: "
                    + body.length() + (status == 405 ? "\r\nAllow: GET, POST" : "") + "\r\nConnection: close\r\n\r\n"
                    + body;
        }
    }

    /** A malformed or oversized request, with the response that reports it. */
    static final class MalformedRequest extends IOException {
        private static final long serialVersionUID = 1L;
        private final transient Response response;

        MalformedRequest(int status, String reason) {
            super(reason);
            response = new Response(status, reason, reason + "\n");
        }

        Response response() {
            return response;
        }
    }

    /**
     * Reads a whole request. The body is read and ignored: left unread, it could reset the connection before the client
     * has the response.
     *
     * @throws MalformedRequest if the request is malformed or exceeds a limit
     * @throws IOException if the connection ends within the request
     */
    static HttpRequest read(InputStream input) throws IOException {
        InputStream in = new BufferedInputStream(input, READ_BUFFER_BYTES);
        String[] requestLine = readLine(in).split(" ", -1);
        if (requestLine.length != 3
                || requestLine[0].isEmpty()
                || !requestLine[1].startsWith("/")
                || !requestLine[2].startsWith("HTTP/1.")) {
            throw new MalformedRequest(400, "Bad Request");
        }
        int contentLength = 0;
        String header = readLine(in);
        for (int headerLines = 0; !header.isEmpty(); headerLines++) {
            int colon = header.indexOf(':');
            if (colon <= 0) {
                throw new MalformedRequest(400, "Bad Request");
            }
            if (headerLines >= MAX_HEADER_LINES) {
                throw new MalformedRequest(431, "Request Header Fields Too Large");
            }
            String headerName = header.substring(0, colon).toLowerCase(Locale.ROOT);
            if (headerName.equals("transfer-encoding")) {
                throw new MalformedRequest(411, "Length Required");
            }
            contentLength = headerName.equals("content-length")
                    ? parseContentLength(header.substring(colon + 1).trim())
                    : contentLength;
            header = readLine(in);
        }
        in.skipNBytes(contentLength);
        int query = requestLine[1].indexOf('?');
        return new HttpRequest(requestLine[0], query < 0 ? requestLine[1] : requestLine[1].substring(0, query));
    }

    private static int parseContentLength(String text) throws MalformedRequest {
        if (text.isEmpty() || text.length() > MAX_LENGTH_DIGITS || !text.chars().allMatch(c -> c >= '0' && c <= '9')) {
            throw new MalformedRequest(400, "Bad Request");
        }
        int contentLength = Integer.parseInt(text);
        if (contentLength > MAX_BODY_BYTES) {
            throw new MalformedRequest(413, "Content Too Large");
        }
        return contentLength;
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int character = in.read(); character != '\n'; character = in.read()) {
            if (character < 0) {
                throw new IOException("connection closed within a request line or header");
            }
            if (line.length() >= MAX_LINE_CHARS) {
                throw new MalformedRequest(431, "Request Header Fields Too Large");
            }
            line.append((char) character);
        }
        int end = line.length() - 1;
        return end >= 0 && line.charAt(end) == '\r' ? line.substring(0, end) : line.toString();
    }
}
