package magpiewheel.config;

import java.lang.reflect.Proxy;
import java.util.Map;
import java.util.function.Consumer;
import magpiewheel.core.Actor;
import magpiewheel.core.Counter;
import magpiewheel.core.Counters;
import magpiewheel.core.Crew;

/**
 * SIGHUP: the configuration file is read again and, only if all of it can be used, handed on. Without a handler
 * the virtual machine would end on that signal, and with it all requests in hand.
 */
public final class Reload extends Actor {
    private static final int MAILBOX = 4;
    private final Map<String, String> env;
    private final Consumer<FrontConfig> taken;
    private final Counters counters;

    /** Hands what it reads to {@code taken}, on a thread of its own. */
    public Reload(Map<String, String> env, Consumer<FrontConfig> taken, Counters counters) {
        super("reload", MAILBOX, counters);
        this.env = env;
        this.taken = taken;
        this.counters = counters;
    }

    /** From now on the signal is heard. */
    public void listen(Crew crew) {
        start(crew);
        try {
            // By name: the compiler rejects the class as internal, though every Java 17 has it.
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object asked = Proxy.newProxyInstance(Reload.class.getClassLoader(), new Class<?>[] {handler},
                    (proxy, method, args) -> called(proxy, method.getName(), args));
            signal.getMethod("handle", signal, handler).invoke(null,
                    signal.getConstructor(String.class).newInstance("HUP"), asked);
        } catch (ReflectiveOperationException | IllegalArgumentException e) {
            System.err.println("magpiewheel: SIGHUP can't be heard here: " + e);
        }
    }

    private Object called(Object proxy, String method, Object[] args) {
        if (method.equals("handle")) {
            // With a full mailbox a signal is dropped: those before it have still to read the file.
            offer(this::read);
            return null;
        }
        return method.equals("equals") ? (Object) (proxy == args[0])
                : method.equals("hashCode") ? (Object) System.identityHashCode(proxy) : "reload";
    }

    private void read() {
        try {
            FrontConfig config = FrontConfig.read(env);
            taken.accept(config);
            counters.add(Counter.RELOADS);
            System.err.println("magpiewheel: configuration read again, board " + config.board());
        } catch (ConfigException e) {
            counters.add(Counter.RELOADS_FAILED);
            System.err.println("magpiewheel: configuration kept as it was: " + e.getMessage());
        }
    }
}
