package magpiewheel.wire;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.InterruptedIOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.LinkedBlockingQueue;

/** A cache node of the tests: it hands over the lines it gets, and a script says what it answers. */
public final class StandInNode implements AutoCloseable {
    /** What to answer to a line with its body; null for silence. Behind a cut answer the connection ends. */
    public interface Script {
        /** The answer to a line with its body, or null. */
        byte[] answer(String line, byte[] body);
    }

    /** Likewise, but it may wait: then it is interrupted when the request is given up, and nothing is answered. */
    public interface Patient {
        /** The answer to a line; may block until interrupted. */
        byte[] answer(String line) throws InterruptedException;
    }

    public final BlockingQueue<String> lines = new LinkedBlockingQueue<>();
    private final ServerSocket listener = new ServerSocket();
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private final ExecutorService workers = Executors.newCachedThreadPool(work -> {
        Thread thread = new Thread(null, work, "stand-in", 1 << 17);
        thread.setDaemon(true);
        return thread;
    });
    private volatile Script script;
    private volatile Patient patient;
    private final Thread accepting;

    /** Listens at a free port on loopback and answers by this script. */
    public StandInNode(Script script) throws IOException {
        this(script, 0);
    }

    /** Likewise, at a port that another node may have had a moment ago. */
    StandInNode(Script script, int port) throws IOException {
        listener.setReuseAddress(true);
        listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port));
        this.script = script;
        accepting = daemon(() -> {
            while (true) {
                Socket socket = listener.accept();
                daemon(() -> serve(socket));
            }
        });
    }

    private interface Work {
        void run() throws IOException;
    }

    private static Thread daemon(Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (IOException e) {
                // The other side has ended the connection, or the test has.
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Where fronts reach this node. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    /** Answers by another script from the next line on. */
    public void script(Script next) {
        script = next;
    }

    /** From now on requests are worked on while others come in. */
    public void abreast(Patient next) {
        patient = next;
    }

    /** A `DONE` for a line, with a body. */
    public static byte[] done(String line, String fields, byte[] body) {
        byte[] head = (line.split(" ")[1] + " DONE " + fields + " " + body.length + "\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[head.length + body.length + 2];
        System.arraycopy(head, 0, all, 0, head.length);
        System.arraycopy(body, 0, all, head.length, body.length);
        all[all.length - 2] = '\r';
        all[all.length - 1] = '\n';
        return all;
    }

    /** Another word for a line. */
    public static byte[] word(String line, String word) {
        return (line.split(" ")[1] + " " + word + " - 0\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1);
    }

    private void serve(Socket socket) throws IOException {
        Map<String, Future<?>> open = new ConcurrentHashMap<>();
        connections.add(socket);
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            StringBuilder line = new StringBuilder();
            for (int next = in.read(); next >= 0; next = in.read()) {
                if (next != '\n') {
                    line.append((char) next);
                    continue;
                }
                String text = line.toString().trim();
                line.setLength(0);
                if (text.isEmpty()) {
                    continue;
                }
                byte[] body = text.startsWith("serve")
                        ? in.readNBytes(Integer.parseInt(text.substring(text.lastIndexOf(' ') + 1)))
                        : new byte[0];
                if (patient != null) {
                    workOn(text, open, out);
                    continue;
                }
                lines.add(text);
                byte[] answer = script.answer(text, body);
                if (answer != null) {
                    out.write(answer);
                    if (answer[answer.length - 1] != '\n') {
                        return;
                    }
                }
            }
        } finally {
            connections.remove(socket);
            open.values().forEach(work -> work.cancel(true));
        }
    }

    /** Ends as a process that dies: its connections are reset, and its port is free. */
    void die() throws IOException {
        listener.close();
        for (Socket connection : connections) {
            connection.setSoLinger(true, 0);
            connection.close();
        }
        close();
    }

    private void workOn(String text, Map<String, Future<?>> open, OutputStream out) {
        String id = text.split(" ")[1];
        if (!text.startsWith("serve")) {
            Optional.ofNullable(open.remove(id)).ifPresent(work -> work.cancel(true));
            return;
        }
        open.values().removeIf(Future::isDone);
        open.put(id, workers.submit(() -> {
            byte[] answer = patient.answer(text);
            synchronized (out) {
                out.write(answer);
            }
            return null;
        }));
    }

    /** Behind this, connections are refused: until the accepting thread has left its call, the machine lets them in. */
    @Override
    public void close() throws IOException {
        listener.close();
        workers.shutdownNow();
        try {
            accepting.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new InterruptedIOException("interrupted while the listener ends");
        }
    }
}
