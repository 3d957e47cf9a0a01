package magpiewheel.config;

import java.io.IOException;
import java.lang.reflect.Proxy;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.Map;
import java.util.function.Consumer;
import magpiewheel.engine.Actor;
import magpiewheel.engine.Counter;
import magpiewheel.engine.Counters;
import magpiewheel.engine.WorkerPool;

/**
 * Reads the configuration file again on SIGHUP and passes it to the listener only if all of it is valid. Without a
 * handler the signal would terminate the virtual machine and all requests in flight.
 *
 * <p>The signal may not be delivered: the parent of the process can have it ignored ({@code nohup} does), and the
 * virtual machine does not change that. The file is therefore also checked when the connection to discovery is lost,
 * and read if it has changed.
 */
public final class Reload extends Actor {
    private static final int MAILBOX = 4;
    /** us; delay before a file that could not be read at all is tried again. */
    private static final long RETRY_US = 200_000;

    private final Map<String, String> env;
    private final Counters counters;
    private Consumer<RouterConfig> listener;
    /** Identifies the version of the file that was read last; initially the one present at construction. */
    private String fileStamp;
    /** ns, by {@link System#nanoTime}; when an unreadable file is tried again. Used only by the actor. */
    private long retryAtNs;

    private boolean retryPending;

    /** Must be created before the configuration is first read, so that no later change of the file is missed. */
    public Reload(Map<String, String> env, Counters counters) {
        super("reload", MAILBOX, counters);
        this.env = env;
        this.counters = counters;
        fileStamp = fileStamp();
    }

    /** Starts the actor; {@code to} receives each valid configuration, including that of a signal received earlier. */
    public void listen(WorkerPool workers, Consumer<RouterConfig> to) {
        listener = to;
        start(workers);
    }

    /**
     * Installs the SIGHUP handler; the file is not read before {@link #listen}. Must be called before anything else,
     * since until then the signal terminates the virtual machine.
     */
    public void handleSignal() {
        try {
            // Reflection: the compiler rejects the class as internal, although every Java 17 has it.
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object hangupHandler = Proxy.newProxyInstance(
                    Reload.class.getClassLoader(),
                    new Class<?>[] {handler},
                    (proxy, method, args) -> invoked(proxy, method.getName(), args));
            Object before = signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), hangupHandler);
            if (handler.getField("SIG_IGN").get(null).equals(before)) {
                System.err.println("magpiewheel: SIGHUP is ignored here by what started the program (nohup?): "
                        + "the configuration is read again only when the board is lost");
            }
        } catch (ReflectiveOperationException | IllegalArgumentException e) {
            System.err.println("magpiewheel: SIGHUP can't be heard here: " + e);
        }
    }

    /** Reads the file if it has changed: discovery is unreachable or silent, and its address may be a new one. */
    public void discoveryLost() {
        offer(() -> {
            if (!fileStamp().equals(fileStamp)) {
                read();
            }
        });
    }

    private String fileStamp() {
        try {
            BasicFileAttributes file = Files.readAttributes(Path.of(env.get("GW_CONFIG")), BasicFileAttributes.class);
            return file.lastModifiedTime() + " " + file.size() + " " + file.fileKey();
        } catch (IOException | RuntimeException e) {
            // The file can't be accessed: the next read reports that, once.
            return "none";
        }
    }

    private Object invoked(Object proxy, String method, Object[] args) {
        if (method.equals("handle")) {
            // A signal is dropped if the mailbox is full: signals queued before it will still read the file.
            offer(this::read);
            return null;
        }
        return method.equals("equals")
                ? (Object) (proxy == args[0])
                : method.equals("hashCode") ? (Object) System.identityHashCode(proxy) : "reload";
    }

    @Override
    protected long untilDueWorkUs() {
        return retryPending ? Math.max(0, (retryAtNs - System.nanoTime()) / 1_000) : -1;
    }

    @Override
    protected void runDueWork() {
        if (retryPending && System.nanoTime() - retryAtNs >= 0) {
            read();
        }
    }

    private void read() {
        fileStamp = fileStamp();
        boolean wasRetry = retryPending;
        retryPending = false;
        try {
            RouterConfig config = RouterConfig.read(env);
            listener.accept(config);
            counters.add(Counter.RELOADS);
            System.err.println("magpiewheel: configuration read again, board " + config.discoveryServer());
        } catch (ConfigException e) {
            // The file is being replaced, or no descriptor was free: no further signal will arrive for the same file.
            retryPending = e.isTransient();
            retryAtNs = System.nanoTime() + RETRY_US * 1_000;
            if (!(wasRetry && retryPending)) {
                counters.add(Counter.RELOADS_FAILED);
                System.err.println("magpiewheel: configuration kept as it was: " + e.getMessage());
            }
        }
    }
}
