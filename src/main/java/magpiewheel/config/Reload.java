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
 * SIGHUP: the configuration file is read again and, only if all of it can be used, handed on. Without a handler the
 * virtual machine would end on that signal, and with it all requests in hand.
 *
 * <p>The signal may never come: whoever starts a process can have it ignored ({@code nohup} does), and the virtual
 * machine leaves that as it is. So the file is also looked at when the board is lost, and read if it has changed.
 */
public final class Reload extends Actor {
    private static final int MAILBOX = 4;
    /** us; a file that could not be read at all is tried again after so long. */
    private static final long RETRY_US = 200_000;

    private final Map<String, String> env;
    private final Counters counters;
    private Consumer<RouterConfig> listener;
    /** Tells one text of the file from the next; what stands there before the first reading is none to read again. */
    private String fileStamp;
    /** ns; when a file that could not be read is tried again; the actor's alone. */
    private long retryAtNs;

    private boolean retryPending;

    /** To be made before the configuration is read for the first time. */
    public Reload(Map<String, String> env, Counters counters) {
        super("reload", MAILBOX, counters);
        this.env = env;
        this.counters = counters;
        fileStamp = fileStamp();
    }

    /** From now on what is read is handed to {@code to}, also for a signal that came before. */
    public void listen(WorkerPool workers, Consumer<RouterConfig> to) {
        listener = to;
        start(workers);
    }

    /**
     * From now on SIGHUP is heard; the reading waits for {@link #listen}. To be called before anything else: until then
     * the virtual machine ends on that signal.
     */
    public void handleSignal() {
        try {
            // By name: the compiler rejects the class as internal, though every Java 17 has it.
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

    /** The board can't be reached, or is silent: it may have moved without a word. */
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
            // No such file: reading it says so, once.
            return "none";
        }
    }

    private Object invoked(Object proxy, String method, Object[] args) {
        if (method.equals("handle")) {
            // With a full mailbox a signal is dropped: those before it have still to read the file.
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
            // Being replaced just now, or no descriptor was free: no further signal comes for the same file.
            retryPending = e.isTransient();
            retryAtNs = System.nanoTime() + RETRY_US * 1_000;
            if (!(wasRetry && retryPending)) {
                counters.add(Counter.RELOADS_FAILED);
                System.err.println("magpiewheel: configuration kept as it was: " + e.getMessage());
            }
        }
    }
}
