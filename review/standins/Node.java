import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A cache node, a parent or the origin, as the page "Protocol" describes it: it reads whole requests, works on each in
 * a thread of its own and answers in any order. A handler says what to answer.
 */
final class Node implements AutoCloseable {
    /** A request that has come whole. */
    record Req(Node node, Socket socket, String id, Map<String, String> fields, byte[] body, long atMs) {
        String field(String name) {
            return fields.getOrDefault(name, "");
        }
    }

    /** Returns the words behind the id and the body of an answer, or null for silence. */
    interface Handler {
        Reply handle(Req request) throws Exception;
    }

    record Reply(String words, byte[] body) {
        /** A copy. */
        static Reply done(String tag, long mintedMs, String tell, byte[] body) {
            return new Reply("DONE tell=" + tell + ",tag=" + tag + ",minted=" + mintedMs, body);
        }

        static Reply word(String word) {
            return new Reply(word + " -", new byte[0]);
        }
    }

    final String name;
    final int id;
    final String zone;
    final String kind;
    final int cell;
    final InetSocketAddress address;
    private final ServerSocket listener;
    private final Handler handler;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private volatile boolean dead;

    Node(String name, int id, String zone, String kind, int cell, Handler handler) throws IOException {
        this.name = name;
        this.id = id;
        this.zone = zone;
        this.kind = kind;
        this.cell = cell;
        this.handler = handler;
        listener = new ServerSocket(0, 128, InetAddress.getByName("127.0.0.1"));
        address = (InetSocketAddress) listener.getLocalSocketAddress();
        Rig.daemon(() -> {
            while (true) {
                Socket socket = listener.accept();
                open.add(socket);
                if (dead) {
                    reset(socket);
                }
                Rig.daemon(() -> serve(socket));
            }
        });
    }

    /** The entry of this node in a list. */
    String entry() {
        return String.format(
                "{\"instanceId\":\"s-%08x\",\"hostPort\":\"127.0.0.1:%d\",\"zone\":\"%s\",\"machineType\":\"%s\","
                        + "\"cell\":%d,\"lifecycle\":\"active\",\"weight\":4,\"startedAtMs\":0}",
                id, address.getPort(), zone, kind, cell);
    }

    private void serve(Socket socket) throws IOException {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (String line = line(in); line != null; line = line(in)) {
                if (line.isEmpty()) {
                    continue;
                }
                String[] words = line.split(" ");
                if (words[0].equals("cancel")) {
                    Rec.log("%s got %s", name, line);
                    continue;
                }
                byte[] body = in.readNBytes(Integer.parseInt(words[words.length - 1]));
                Map<String, String> fields = new HashMap<>();
                for (String field : words[2].split(",")) {
                    fields.put(field.substring(0, field.indexOf('=')), field.substring(field.indexOf('=') + 1));
                }
                Rec.log("%s got %s", name, line);
                Req request = new Req(this, socket, words[1], fields, body, Rec.ms());
                Rig.daemon(() -> answer(request, out));
            }
        } finally {
            open.remove(socket);
        }
    }

    private void answer(Req request, OutputStream out) throws IOException {
        Reply reply;
        try {
            reply = handler.handle(request);
        } catch (Exception e) {
            Rec.log("%s fault of the stand-in: %s", name, e);
            return;
        }
        if (reply == null || dead) {
            return;
        }
        byte[] head = (request.id + " " + reply.words + " " + reply.body.length + "\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[head.length + reply.body.length + 2];
        System.arraycopy(head, 0, all, 0, head.length);
        System.arraycopy(reply.body, 0, all, head.length, reply.body.length);
        all[all.length - 2] = '\r';
        all[all.length - 1] = '\n';
        synchronized (out) {
            out.write(all);
        }
        Rec.log("%s answered %s %s, %d bytes", name, request.id, reply.words, reply.body.length);
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next >= 0; next = in.read()) {
            if (next == '\n') {
                return line.toString().trim();
            }
            line.append((char) next);
        }
        return null;
    }

    /** Its process dies: its connections are reset, new ones are refused. */
    void die() throws IOException {
        dead = true;
        Rec.log("%s dies: its connections are reset, new ones are refused", name);
        listener.close();
        for (Socket socket : open) {
            reset(socket);
        }
    }

    private static void reset(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
