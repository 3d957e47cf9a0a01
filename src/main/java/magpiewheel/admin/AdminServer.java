package magpiewheel.admin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Iterator;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import magpiewheel.engine.Actor;
import magpiewheel.engine.Counter;
import magpiewheel.engine.Counters;
import magpiewheel.engine.LingeringClose;
import magpiewheel.engine.WorkerPool;

/**
 * The admin server: HTTP/1.1 at an address of its own, one call a connection. A call holds no state but its own
 * connection's, so its reader answers it; nothing here waits for an actor, so that a front under load still answers. It
 * has few places: with all taken, the call that has been unfinished for longest makes room.
 */
public final class AdminServer {
    /** What operators can ask of the front. None of it may wait. */
    public interface Service {
        /** Whether this process can serve. */
        boolean serving();

        /** The figures, a line each. */
        String figures();

        /** Sends clients away. */
        void quiesce();

        /** Takes clients again. */
        void resume();
    }

    private static final int PLACES = 12;
    private static final int BACKLOG = 64;
    /** ns; who has not finished a call by then is closed. */
    private static final long UNFINISHED_NS = TimeUnit.SECONDS.toNanos(5);

    /** ms; so long a caller that has its answer may say nothing before the connection is closed on it. */
    private static final int LINGER_MS = 2_000;

    private static final int LOOK_MS = 250;
    private static final int AGAIN_MS = 5;

    private record Caller(Socket socket, long since) {}

    private final ServerSocket listener = new ServerSocket();
    private final Set<Caller> callers = ConcurrentHashMap.newKeySet();
    private final Service service;
    private final Counters counters;
    private final WorkerPool crew;

    /** Listens on the address. */
    public AdminServer(InetSocketAddress listen, Service service, Counters counters, WorkerPool crew)
            throws IOException {
        this.service = service;
        this.counters = counters;
        this.crew = crew;
        listener.setReuseAddress(true);
        listener.bind(listen, BACKLOG);
        listener.setSoTimeout(LOOK_MS);
    }

    /** Starts to take calls. */
    public void start() {
        Actor.daemonThread("admin", this::accept).start();
    }

    /** Takes no further calls, and ends those in hand. */
    public void close() {
        try {
            listener.close();
        } catch (IOException e) {
            // It is closed all the same.
        }
        callers.forEach(caller -> close(caller.socket()));
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Caller caller = new Caller(listener.accept(), System.nanoTime());
                counters.add(Counter.DOOR_CALLS);
                makeRoom();
                callers.add(caller);
                crew.runReader(() -> serve(caller));
            } catch (SocketTimeoutException e) {
                // Time to look at the others.
            } catch (IOException e) {
                // Without descriptors accept fails at once, again and again.
                pause();
            }
            long now = System.nanoTime();
            callers.stream()
                    .filter(caller -> now - caller.since() > UNFINISHED_NS)
                    .forEach(this::turnAway);
        }
    }

    private void makeRoom() {
        while (callers.size() >= PLACES) {
            Iterator<Caller> all = callers.iterator();
            if (!all.hasNext()) {
                return;
            }
            Caller eldest = all.next();
            while (all.hasNext()) {
                Caller next = all.next();
                eldest = next.since() < eldest.since() ? next : eldest;
            }
            turnAway(eldest);
        }
    }

    private void turnAway(Caller caller) {
        if (callers.remove(caller)) {
            counters.add(Counter.DOOR_TURNED_AWAY);
            close(caller.socket());
        }
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed all the same.
        }
    }

    private static void pause() {
        try {
            Thread.sleep(AGAIN_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void serve(Caller caller) {
        Socket socket = caller.socket();
        try (socket) {
            socket.setTcpNoDelay(true);
            HttpCall.Answer answer;
            try {
                answer = answer(HttpCall.read(socket.getInputStream()));
            } catch (HttpCall.Malformed e) {
                counters.add(Counter.DOOR_GARBAGE);
                answer = e.answer();
            }
            socket.getOutputStream().write(answer.text().getBytes(StandardCharsets.ISO_8859_1));
            socket.shutdownOutput();
            socket.setSoTimeout(LINGER_MS);
            LingeringClose.drain(socket.getInputStream());
        } catch (IOException e) {
            // Gone, or closed to make room.
        } catch (RuntimeException e) {
            counters.add(Counter.FAULTS);
            System.err.println("admin: " + e + " at " + e.getStackTrace()[0]);
        } finally {
            callers.remove(caller);
        }
    }

    private HttpCall.Answer answer(HttpCall call) {
        boolean order = call.path().equals("/admin/quiesce") || call.path().equals("/admin/resume");
        if (!order && !call.path().equals("/admin/health") && !call.path().equals("/admin/stats")) {
            return new HttpCall.Answer(404, "Not Found", "no such call\n");
        }
        if (!call.method().equals(order ? "POST" : "GET")) {
            return new HttpCall.Answer(405, "Method Not Allowed", "it takes " + (order ? "POST" : "GET") + "\n");
        }
        switch (call.path()) {
            case "/admin/health" -> {
                return service.serving()
                        ? new HttpCall.Answer(200, "OK", "serving\n")
                        : new HttpCall.Answer(503, "Service Unavailable", "not serving yet\n");
            }
            case "/admin/stats" -> {
                return new HttpCall.Answer(200, "OK", service.figures());
            }
            case "/admin/quiesce" -> service.quiesce();
            default -> service.resume();
        }
        return new HttpCall.Answer(200, "OK", "done\n");
    }
}
