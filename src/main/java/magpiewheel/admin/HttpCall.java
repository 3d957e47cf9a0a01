package magpiewheel.admin;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.util.Locale;

/**
 * One call in HTTP/1.1, as much of it as the admin server needs; every length is checked before room is taken for it.
 */
record HttpCall(String method, String path) {
    private static final int LONGEST_LINE = 1_024;
    private static final int MOST_LINES = 64;
    private static final int LARGEST_BODY = 64 * 1024;
    private static final int READ_BUFFER = 1_024;
    private static final int LONGEST_NUMBER = 9;

    /** What a caller is told; the connection ends behind it. */
    record Answer(int code, String reason, String body) {
        String text() {
            return "HTTP/1.1 " + code + " " + reason + "\r\nContent-Type: text/plain\r\nContent-Length: "
                    + body.length() + (code == 405 ? "\r\nAllow: GET, POST" : "") + "\r\nConnection: close\r\n\r\n"
                    + body;
        }
    }

    /** The call can't be read; the answer says so. */
    static final class Malformed extends IOException {
        private static final long serialVersionUID = 1L;
        private final transient Answer answer;

        Malformed(int code, String reason) {
            super(reason);
            answer = new Answer(code, reason, reason + "\n");
        }

        Answer answer() {
            return answer;
        }
    }

    /** Reads a whole call with its body, which says nothing here: unread, it could cut off the answer. */
    static HttpCall read(InputStream from) throws IOException {
        InputStream in = new BufferedInputStream(from, READ_BUFFER);
        String[] words = line(in).split(" ", -1);
        if (words.length != 3 || words[0].isEmpty() || !words[1].startsWith("/") || !words[2].startsWith("HTTP/1.")) {
            throw new Malformed(400, "Bad Request");
        }
        int length = 0;
        String header = line(in);
        for (int lines = 0; !header.isEmpty(); lines++) {
            int colon = header.indexOf(':');
            if (colon <= 0) {
                throw new Malformed(400, "Bad Request");
            }
            if (lines >= MOST_LINES) {
                throw new Malformed(431, "Request Header Fields Too Large");
            }
            String name = header.substring(0, colon).toLowerCase(Locale.ROOT);
            if (name.equals("transfer-encoding")) {
                throw new Malformed(411, "Length Required");
            }
            length = name.equals("content-length")
                    ? length(header.substring(colon + 1).trim())
                    : length;
            header = line(in);
        }
        in.skipNBytes(length);
        int query = words[1].indexOf('?');
        return new HttpCall(words[0], query < 0 ? words[1] : words[1].substring(0, query));
    }

    private static int length(String text) throws Malformed {
        if (text.isEmpty() || text.length() > LONGEST_NUMBER || !text.chars().allMatch(c -> c >= '0' && c <= '9')) {
            throw new Malformed(400, "Bad Request");
        }
        int length = Integer.parseInt(text);
        if (length > LARGEST_BODY) {
            throw new Malformed(413, "Content Too Large");
        }
        return length;
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new IOException("the call ends early");
            }
            if (line.length() >= LONGEST_LINE) {
                throw new Malformed(431, "Request Header Fields Too Large");
            }
            line.append((char) next);
        }
        int end = line.length() - 1;
        return end >= 0 && line.charAt(end) == '\r' ? line.substring(0, end) : line.toString();
    }
}
