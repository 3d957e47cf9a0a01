package magpiewheel;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import magpiewheel.dns.DnsServer;
import magpiewheel.engine.Counters;
import magpiewheel.engine.Engine;
import magpiewheel.engine.EventLog;
import magpiewheel.flows.FlowExporter;
import magpiewheel.resp.RespServer;
import magpiewheel.resp.ShutdownSchedule;

/**
 * The end of the process after SIGTERM: every request that was read is answered before the time at which the process
 * may be killed ({@link ShutdownSchedule}). The process may go on behind that time, as long as it is not killed, but
 * only for clients that are still reading their responses. Runs on the virtual machine's shutdown thread.
 */
final class Shutdown {
    /**
     * What ends with the process.
     *
     * @param dns empty if DNS is off
     * @param exporter null if flows are not exported
     * @param services close what only new requests need, and free its addresses; each may run more than once
     * @param poller closes what reads the clients
     */
    record Parts(
            RespServer server,
            Optional<DnsServer> dns,
            Engine engine,
            FlowExporter exporter,
            List<Runnable> services,
            Runnable poller,
            Counters counters) {}

    /** Why the process did not go on. */
    private enum EndReason {
        /** No client was left. */
        ALL_CLIENTS_LEFT,
        /** The clients and resolvers that were reading have all their responses, or read no more. */
        RESPONSES_READ,
        /** Clients were left when the time was up. */
        TIME_IS_UP;

        /** Returns the name as it stands in the log. */
        String logName() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }
    }

    private static final int POLL_MS = 10;
    private static final long MAX_FLOW_EXPORT_MS = 300;
    /** ms; what remains between the end of the flow export and the time of SIGKILL. */
    private static final long HALT_BEFORE_KILL_MS = 60;

    private static final long MAX_LOG_FLUSH_MS = 20;
    private static final Parts ENDED_BEFORE_START =
            new Parts(null, Optional.empty(), null, null, List.of(), null, null);

    private final AtomicReference<Parts> parts = new AtomicReference<>();
    /** Exit code of the process; 0 for a planned shutdown. */
    private volatile int exitCode;

    /** Installs the handler of SIGTERM; until {@link #arm} a signal ends the process at once. */
    Shutdown() {
        Runtime.getRuntime().addShutdownHook(new Thread(this::run));
    }

    /**
     * From now on SIGTERM shuts these parts down; to be called before the first client is accepted. Waits forever if
     * the process is ending already.
     */
    void arm(Parts started) {
        if (!parts.compareAndSet(null, started)) {
            awaitHalt();
        }
    }

    /** Ends the process with an exit code other than 0, without serving on. Never returns. */
    void fail(int code) {
        exitCode = code;
        System.exit(code);
    }

    private static void awaitHalt() {
        try {
            Thread.currentThread().join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void run() {
        if (exitCode != 0) {
            // The start failed, and one line has said why: the exit must not look like a planned shutdown.
            Runtime.getRuntime().halt(exitCode);
        }
        if (parts.compareAndSet(null, ENDED_BEFORE_START)) {
            EventLog.log(EventLog.Event.STATE, "process=ended reason=signal-before-the-start");
            flushLog();
            return;
        }
        end(parts.get());
    }

    private static void end(Parts running) {
        long startNs = System.nanoTime();
        ShutdownSchedule schedule = running.server().shutdownSchedule();
        EventLog.log(
                EventLog.Event.STATE,
                "process=ending reason=signal " + running.server().describe() + " " + schedule);
        running.server().beginShutdown();
        // Before the router is out of this process's answers: it stays in those of a younger process.
        running.dns().ifPresent(DnsServer::leaveToSuccessor);
        running.engine().stopServing();
        EndReason reason = EndReason.TIME_IS_UP;
        try {
            serveOn(running, schedule, startNs);
            reason = finishResponses(running, flowExportMs(schedule, startNs));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        running.server().disconnectClients();
        running.engine().shutDown(List.of());
        closeServices(running);
        running.dns().ifPresent(DnsServer::close);
        EventLog.log(
                EventLog.Event.STATE,
                "process=ended reason=" + reason.logName() + " after_ms=" + elapsedMs(startNs) + " "
                        + running.server().describe());
        running.poller().run();
        EventLog.print("magpiewheel: counters " + running.counters());
        flushLog();
        Runtime.getRuntime().halt(0);
    }

    private static void serveOn(Parts running, ShutdownSchedule schedule, long startNs) throws InterruptedException {
        RespServer server = running.server();
        if (server.isShared()) {
            // The next process accepts on the same listener, so clients can reconnect there.
            server.close();
        }
        Thread.sleep(schedule.acceptUntilMs());
        server.close();
        while (elapsedMs(startNs) < schedule.exitByMs() && (running.engine().inFlight() > 0 || server.hasClients())) {
            Thread.sleep(POLL_MS);
        }
    }

    /** Ends what may wait for clients and resolvers that are still reading, and the export of flows. */
    private static EndReason finishResponses(Parts running, long exportMs) throws InterruptedException {
        boolean clientsLeft = running.server().hasClients() || running.engine().inFlight() > 0;
        EndReason reason = clientsLeft ? EndReason.TIME_IS_UP : EndReason.ALL_CLIENTS_LEFT;
        long lastExportMs = exportMs;
        running.dns().ifPresent(DnsServer::end);
        if (closeAllButReaders(running)) {
            reason = awaitReaders(running, exportMs) ? EndReason.RESPONSES_READ : EndReason.TIME_IS_UP;
            lastExportMs = MAX_FLOW_EXPORT_MS;
        }
        if (running.exporter() != null) {
            running.exporter().end(lastExportMs);
        }
        return reason;
    }

    /** Closes the connections of clients that are not reading responses; returns whether any client or resolver is. */
    private static boolean closeAllButReaders(Parts running) {
        boolean clientsRead = running.server().closeAllButReaders();
        boolean resolversRead = !running.dns().map(DnsServer::closeIfAnswered).orElse(true);
        return clientsRead || resolversRead;
    }

    /**
     * Waits until the clients and resolvers that are still reading have all their responses, or do not read on. SIGKILL
     * may come meanwhile, so everything else ends first. Returns false if the time was up before.
     */
    private static boolean awaitReaders(Parts running, long exportMs) throws InterruptedException {
        RespServer server = running.server();
        long startNs = System.nanoTime();
        long longestMs = Math.max(server.longestReadMs(), running.dns().isPresent() ? DnsServer.LONGEST_END_MS : 0);
        EventLog.log(
                EventLog.Event.STATE,
                "process=waiting reason=unread-responses longest_ms=" + longestMs + " " + server.describe());
        if (running.exporter() != null) {
            running.exporter().flush(exportMs);
        }
        closeServices(running);
        boolean anyoneReads = true;
        while (anyoneReads && elapsedMs(startNs) < longestMs) {
            Thread.sleep(POLL_MS);
            anyoneReads = closeAllButReaders(running);
        }
        return !anyoneReads;
    }

    /** Returns the time (ms) that the export of flows may take before the process may be killed. */
    private static long flowExportMs(ShutdownSchedule schedule, long startNs) {
        long leftMs = schedule.killAtMs() - HALT_BEFORE_KILL_MS - elapsedMs(startNs);
        return Math.max(0, Math.min(MAX_FLOW_EXPORT_MS, leftMs));
    }

    /**
     * Closes every socket but those of clients and resolvers, on this thread: what is left to an actor may not happen
     * before the halt, and halting waits 0.3 s for threads that are blocked in a socket call, which is longer than the
     * process has.
     */
    private static void closeServices(Parts running) {
        running.services().forEach(Runnable::run);
    }

    private static long elapsedMs(long startNs) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs);
    }

    private static void flushLog() {
        try {
            EventLog.flush(MAX_LOG_FLUSH_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
