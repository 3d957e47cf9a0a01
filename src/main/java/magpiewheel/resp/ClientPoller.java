package magpiewheel.resp;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.channels.CancelledKeyException;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import magpiewheel.engine.Actor;
import magpiewheel.engine.Counter;
import magpiewheel.engine.Counters;
import magpiewheel.engine.EventLog;
import magpiewheel.engine.Pause;

/**
 * The one thread that reads all client connections. A thread for each connection would cost its stack: the virtual
 * machine touches 80 KB of it (StackShadowPages) at the first native call, whatever the connection does.
 */
public final class ClientPoller {
    /** Bytes read from a connection at a time; more than one large frame without its body. */
    static final int READ_BYTES = 8 * 1024;

    private static final int RETRY_MS = 5;
    private static final long MAX_CLOSE_MS = 50;

    private final Selector selector;
    private final Counters counters;
    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final Queue<Runnable> releases = new ConcurrentLinkedQueue<>();
    private final ByteBuffer readBuffer = ByteBuffer.allocateDirect(READ_BYTES);
    private final Thread thread;
    private volatile boolean closed;

    /** Creates a poller and starts its thread. */
    public ClientPoller(Counters counters) {
        this.counters = counters;
        try {
            selector = Selector.open();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        thread = Actor.daemonThread("client-poller", this::run);
        thread.start();
    }

    /** Runs a task on the poller's thread, after what it is doing. */
    public void execute(Runnable task) {
        tasks.add(task);
        wakeUp();
    }

    /**
     * Runs a task on the poller's thread once the descriptors of all transports that are closed by now are released:
     * the descriptor of a registered channel stays open until the next selection.
     */
    void afterRelease(Runnable task) {
        releases.add(task);
        wakeUp();
    }

    /**
     * Ends the thread and waits for that, for the end of the process: halting the virtual machine waits for threads
     * that are inside a system call.
     */
    public void close() {
        closed = true;
        selector.wakeup();
        try {
            thread.join(MAX_CLOSE_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns the buffer that connections read into, empty; only on the poller's thread. */
    ByteBuffer readBuffer() {
        return readBuffer.clear();
    }

    SelectionKey register(SelectableChannel channel, ClientTransport.ReadinessHandler handler) throws IOException {
        SelectionKey key = channel.register(selector, SelectionKey.OP_READ, handler);
        wakeUp();
        return key;
    }

    /** Ends the selection that is waiting or, on the poller's thread, the next one. */
    void wakeUp() {
        selector.wakeup();
    }

    private void run() {
        while (!closed) {
            List<Runnable> released = drain(releases);
            try {
                // A selection begins with releasing the descriptors of closed channels.
                if (released.isEmpty()) {
                    selector.select(this::handle);
                } else {
                    selector.selectNow(this::handle);
                }
            } catch (IOException e) {
                EventLog.log(EventLog.Event.SYSTEM_CALL_FAILED, "call=select reason=" + e);
                Pause.ms(RETRY_MS);
            }
            released.forEach(this::runGuarded);
            drain(tasks).forEach(this::runGuarded);
        }
    }

    private static List<Runnable> drain(Queue<Runnable> queue) {
        List<Runnable> all = new ArrayList<>();
        for (Runnable next = queue.poll(); next != null; next = queue.poll()) {
            all.add(next);
        }
        return all;
    }

    private void handle(SelectionKey key) {
        ClientTransport.ReadinessHandler handler = (ClientTransport.ReadinessHandler) key.attachment();
        try {
            if (key.isWritable()) {
                key.interestOpsAnd(~SelectionKey.OP_WRITE);
                runGuarded(handler::onWritable);
            }
            if (key.isReadable()) {
                runGuarded(handler::onReadable);
            }
        } catch (CancelledKeyException e) {
            // The connection was closed in the meantime.
        }
    }

    /** Runs a task; a fault of one connection must not end the thread that serves all others. */
    private void runGuarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            counters.add(Counter.FAULTS);
            EventLog.log(EventLog.Event.STATE, "client-poller=fault reason=" + e);
        }
    }
}
