package magpiewheel.nodes;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import magpiewheel.core.Actor;
import magpiewheel.core.Attempt;
import magpiewheel.core.Body;
import magpiewheel.core.Call;
import magpiewheel.core.Counter;
import magpiewheel.core.Ipv4;
import magpiewheel.core.Listed;
import magpiewheel.core.Outcome;
import magpiewheel.module.Director.Plan;
import magpiewheel.module.Director.Result;
import magpiewheel.module.Director;
import magpiewheel.nodes.CacheNodes.Shared;

/** One connection to a node, in the line protocol: its reader dials and then reads, the node's actor writes. */
final class NodeConnection {
    private static final int LONGEST_LINE = 2_048;
    private static final int LARGEST_BODY = 240_000;
    private static final int READ_BUFFER = 4_096;
    /** Above the largest request body, so that a write never waits for a machine that has fallen silent. */
    private static final int SEND_BUFFER = 160 * 1024;
    private static final long BUFFER_WAIT_MS = 300;
    private static final String NO_FIELDS = "-";
    private static final Director.Note[] NOTES = Director.Note.values();
    private static final List<String> NOTE_WORDS = List.of("", "hit", "filled", "via_origin", "joined", "stale",
            "src_refused", "src_broke", "src_lacks", "no_slot", "origin_failed");

    /** Set and read by the node's actor alone. */
    Attempt attempt;
    long idleSince;
    private final CacheNode node;
    private final Listed listed;
    private final Shared shared;
    private final Socket socket = new Socket();
    private volatile OutputStream out;

    NodeConnection(CacheNode node, Listed listed, Shared shared) {
        this.node = node;
        this.listed = listed;
        this.shared = shared;
    }

    void start() {
        Actor.thread("node-reader", this::run).start();
    }

    boolean closed() {
        return socket.isClosed();
    }

    void close() {
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed all the same.
        }
    }

    private void run() {
        boolean up = false;
        try {
            socket.setTcpNoDelay(true);
            socket.setSendBufferSize(SEND_BUFFER);
            socket.connect(new InetSocketAddress(Ipv4.address(listed.address()), listed.port()),
                    shared.dialTimeoutMs());
            out = socket.getOutputStream();
            up = true;
            node.up(this);
            InputStream in = new BufferedInputStream(socket.getInputStream(), READ_BUFFER);
            while (answer(in)) {
                Thread.onSpinWait();
            }
        } catch (Garbage e) {
            shared.counters().add(Counter.NODE_GARBAGE);
        } catch (IOException e) {
            // Refused, reset or closed: told by `down`.
        } finally {
            close();
            node.down(this, !up);
        }
    }

    // ---------------------------------------------------------------- writing, on the node's actor

    void serve(Attempt attempt) throws IOException {
        Call.Ask ask = attempt.call().ask();
        Plan plan = attempt.plan();
        StringBuilder line = new StringBuilder("serve ").append(ask.trace()).append(" cls=").append(ask.className());
        line.append(",item=").append(hex(ask.object())).append(",chunk=").append(ask.part());
        long now = System.currentTimeMillis();
        line.append(",limit=").append(Math.max(1, attempt.stopAt() / 1000 - now));
        field(line, "nonce", ask.nonce());
        if (plan.source() != attempt.node()) {
            line.append(",via=").append(nodeName(plan.source()));
        }
        if (plan.keep() > 0) {
            line.append(",tier=").append(plan.keep());
        }
        if (plan.maxAgeUs() > 0) {
            line.append(",fresh=").append(Math.max(1, plan.maxAgeUs() / 1000));
        }
        List<String> options = new ArrayList<>();
        option(options, plan.join(), "ride");
        option(options, plan.heldOnly(), "have-only");
        option(options, plan.parentKeepsNone(), "through");
        option(options, plan.renew(), "update");
        field(line, "opts", options.isEmpty() ? null : String.join("+", options));
        field(line, "known", ask.held());
        Body body = ask.body();
        line.append(' ').append(body == null ? 0 : body.length()).append(body == null ? "\r\n\r\n" : "\r\n");
        byte[] head = line.toString().getBytes(StandardCharsets.ISO_8859_1);
        out.write(head);
        if (body != null) {
            body.writeTo(out);
            out.write('\r');
            out.write('\n');
        }
    }

    void cancel(Attempt given) {
        try {
            if (out != null) {
                out.write(("cancel " + given.call().ask().trace() + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            }
        } catch (IOException e) {
            // The connection is gone, and with it what was open on it.
        }
        close();
    }

    private static void field(StringBuilder line, String name, String value) {
        if (value != null) {
            line.append(',').append(name).append('=').append(value);
        }
    }

    private static void option(List<String> options, boolean set, String word) {
        if (set) {
            options.add(word);
        }
    }

    private static String hex(long value) {
        return HexFormat.of().toHexDigits(value);
    }

    private static String nodeName(long id) {
        return "s-" + HexFormat.of().toHexDigits((int) id);
    }

    // ---------------------------------------------------------------- reading

    private static final class Garbage extends IOException {
        private static final long serialVersionUID = 1L;

        Garbage(String what) {
            super(what);
        }
    }

    /** Reads one answer and hands it on; false at the end of the stream. */
    private boolean answer(InputStream in) throws IOException {
        String line = line(in);
        while (line != null && line.isEmpty()) {
            // The end of the body before; without a body some leave it out.
            line = line(in);
        }
        if (line == null) {
            return false;
        }
        String[] words = line.split(" ");
        if (words.length < 2) {
            throw new Garbage("a line of one word");
        }
        Result result = switch (words[1]) {
            case "DONE", "KEEP" -> Result.OK;
            case "LACK" -> Result.MISS;
            case "WAIT" -> Result.FULL;
            case "BROKE" -> Result.ERROR;
            case "PAST" -> Result.MOOT;
            case "FIT" -> null;
            default -> throw new Garbage("the word " + words[1]);
        };
        int length = words.length > 3 ? number(words[3], LARGEST_BODY) : 0;
        Body body = null;
        if (result == Result.OK && words[1].equals("DONE")) {
            body = shared.pool().take(length, BUFFER_WAIT_MS);
            if (body == null) {
                result = Result.ERROR;
            }
        }
        read(in, body, length);
        if (result != null) {
            node.answered(this, words[0], outcome(result, words.length > 2 ? words[2] : NO_FIELDS, body,
                    words[1].equals("KEEP")));
        }
        return true;
    }

    private static void read(InputStream in, Body body, int length) throws IOException {
        boolean whole = false;
        try {
            if (body != null) {
                body.readFrom(in);
            } else {
                in.skipNBytes(length);
            }
            if (length > 0 && (in.read() != '\r' || in.read() != '\n')) {
                throw new Garbage("no line end after a body");
            }
            whole = true;
        } finally {
            if (!whole && body != null) {
                body.release();
            }
        }
    }

    private static Outcome outcome(Result result, String fields, Body body, boolean unchanged) {
        Director.Note note = Director.Note.NONE;
        long lag = 0;
        String tag = null;
        for (String field : fields.split(",")) {
            int equals = field.indexOf('=');
            String value = field.substring(equals + 1);
            switch (equals < 0 ? "" : field.substring(0, equals)) {
                case "tell" -> note = NOTES[Math.max(0, NOTE_WORDS.indexOf(value))];
                case "lag" -> lag = micros(value);
                case "tag" -> tag = value;
                default -> { }
            }
        }
        return new Outcome(result, note, lag, body, tag, unchanged);
    }

    private static long micros(String millis) {
        try {
            return Math.max(0, (long) (Double.parseDouble(millis) * 1000));
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    private static int number(String text, int most) throws Garbage {
        try {
            int value = Integer.parseInt(text);
            if (value >= 0 && value <= most) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Named below.
        }
        throw new Garbage("the length " + text);
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next >= 0; next = in.read()) {
            if (next == '\n') {
                int length = line.length();
                if (length > 0 && line.charAt(length - 1) == '\r') {
                    line.setLength(length - 1);
                }
                return line.toString();
            }
            if (line.length() >= LONGEST_LINE) {
                throw new Garbage("a line without end");
            }
            line.append((char) next);
        }
        return null;
    }
}
