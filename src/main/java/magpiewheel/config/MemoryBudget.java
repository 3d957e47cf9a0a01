package magpiewheel.config;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import magpiewheel.engine.WorkerPool;

/**
 * Divides the memory that the process may use among everything that grows with what clients, endpoints, peers and
 * resolvers do. Every cap on connections, buffers, open requests and records follows from this class, so that their sum
 * keeps to {@code limits.memory_mb} of the settings.
 *
 * @param mayUseBytes what the process may use
 * @param clients connections of clients, without those that are half-closed
 * @param endpointConnections connections to endpoints
 * @param resolvers TCP connections of DNS resolvers
 * @param requestBuffers buffers for the bodies of requests that are being received or are open
 * @param responseBuffers buffers for the bodies of responses and for local copies
 * @param openRequests requests accepted and not finished
 * @param objectRecords objects whose holder is remembered
 * @param heapBytes the heap that the other parts need
 * @param parts what each use may take; their sum is at most {@code mayUseBytes} unless the limit can't be kept
 */
public record MemoryBudget(
        long mayUseBytes,
        int clients,
        int endpointConnections,
        int resolvers,
        int requestBuffers,
        int responseBuffers,
        int openRequests,
        int objectRecords,
        long heapBytes,
        List<Part> parts) {
    /** What one use may take: so many units of so many bytes. */
    public record Part(String name, long units, long bytesEach) {
        /** Returns the bytes of all units. */
        public long bytes() {
            return units * bytesEach;
        }
    }

    /** What a process is configured to serve, apart from clients. */
    public record Deployment(int listedEndpoints, int peers, boolean flows, boolean sharesListener) {}

    private static final long KB = 1_024;
    private static final long MB = 1_024 * KB;

    /** The share of the limit that is used, as files and short peaks count, too. */
    private static final double USED_SHARE = 0.9;
    /** Memory granted in addition to the limit while two processes of one router run during an upgrade. */
    private static final long UPGRADE_GRANT_BYTES = 64 * MB;

    /** The virtual machine: libraries, class data, compiled code, and the threads that every router has. */
    private static final long VIRTUAL_MACHINE_BYTES = 46 * MB;
    /** The young generation, as the deploy file sets it: it is touched whole whatever the router does. */
    private static final long YOUNG_GENERATION_BYTES = 8 * MB;
    /** Garbage of the old generation between two collections. */
    private static final long GARBAGE_BYTES = 3 * MB;
    /** Objects of the program that do not grow: code of the decisions, settings, logs, frames of discovery. */
    private static final long PROGRAM_BYTES = 4 * MB;
    /** Stack pages that the virtual machine touches (StackShadowPages), structures of the thread, its direct buffer. */
    private static final long THREAD_BYTES = 116 * KB;
    /** Actor, parser, strings of a partial head, queues. */
    private static final long CLIENT_BYTES = 8 * KB;

    private static final long ENDPOINT_CONNECTION_BYTES = THREAD_BYTES + 8 * KB;
    private static final long RESOLVER_BYTES = THREAD_BYTES + 64 * KB;
    private static final long OPERATOR_BYTES = THREAD_BYTES + 64 * KB;
    private static final long LISTED_ENDPOINT_BYTES = 4 * KB;
    private static final long PEER_BYTES = 3 * KB;
    private static final long PURGE_BYTES = 112;
    private static final long OBJECT_RECORD_BYTES = 160;
    private static final long OPEN_REQUEST_BYTES = 4 * KB;
    private static final long BUFFER_BYTES = 4 * KB;
    private static final long FLOW_EXPORT_BYTES = 4 * MB;

    private static final int OPERATORS = 12;
    private static final int PURGES = 20_000;

    private static final int MIN_ENDPOINT_CONNECTIONS = 8;
    private static final int MIN_BUFFERS = 256;
    private static final int MIN_OPEN_REQUESTS = 64;
    private static final int MIN_OBJECT_RECORDS = 1_000;
    private static final int MAX_OPEN_REQUESTS = 2_048;
    private static final int MAX_OBJECT_RECORDS = 20_000;
    /** With less memory than this, fewer resolvers are served at once. */
    private static final long RESOLVERS_FULL_FROM_BYTES = 160 * MB;

    private static final int FEW_RESOLVERS = 8;

    /** Shares of what the fixed parts leave. */
    private static final double ENDPOINT_CONNECTIONS_SHARE = 0.55;

    private static final double BUFFERS_SHARE = 0.3;
    private static final double OPEN_REQUESTS_SHARE = 0.08;
    /** The share of the buffers that holds bodies of requests. */
    private static final double REQUEST_BUFFERS_SHARE = 0.25;

    /**
     * Divides {@code memoryMb} (MB) within the shares of the descriptors, the maximum number of buffers that the
     * application configures, and the maximum heap.
     *
     * @param halfClosedClients connections that may be half-closed beside those of the descriptors' share
     */
    public static MemoryBudget of(
            long memoryMb,
            DescriptorShares descriptors,
            int halfClosedClients,
            int maxBuffers,
            long maxHeapBytes,
            Deployment deployment) {
        long mayUse = mayUse(memoryMb, deployment.sharesListener());
        int resolvers = mayUse < RESOLVERS_FULL_FROM_BYTES
                ? Math.min(FEW_RESOLVERS, descriptors.resolvers())
                : descriptors.resolvers();
        List<Part> outsideHeap = List.of(
                new Part("virtual-machine", 1, VIRTUAL_MACHINE_BYTES),
                new Part("workers", WorkerPool.MAX_SURPLUS_THREADS, THREAD_BYTES),
                new Part("operators", OPERATORS, OPERATOR_BYTES),
                new Part("resolvers", resolvers, RESOLVER_BYTES));
        List<Part> fixedHeap = List.of(
                new Part("young-generation", 1, YOUNG_GENERATION_BYTES),
                new Part("garbage", 1, GARBAGE_BYTES),
                new Part("program", 1, PROGRAM_BYTES),
                new Part("purges", PURGES, PURGE_BYTES),
                new Part("listed-endpoints", deployment.listedEndpoints(), LISTED_ENDPOINT_BYTES),
                new Part("peers", deployment.peers(), PEER_BYTES),
                new Part("flow-export", deployment.flows() ? 1 : 0, FLOW_EXPORT_BYTES),
                new Part("clients", descriptors.clients() + halfClosedClients, CLIENT_BYTES));
        long left = Math.max(0, mayUse - sum(outsideHeap) - sum(fixedHeap));
        int endpointConnections = clamp(
                left * ENDPOINT_CONNECTIONS_SHARE / ENDPOINT_CONNECTION_BYTES,
                Math.min(MIN_ENDPOINT_CONNECTIONS, descriptors.endpointConnections()),
                descriptors.endpointConnections());
        int mostBuffers = (int) Math.min(maxBuffers, maxHeapBytes / 2 / BUFFER_BYTES);
        int buffers = clamp(left * BUFFERS_SHARE / BUFFER_BYTES, Math.min(MIN_BUFFERS, mostBuffers), mostBuffers);
        int requestBuffers = (int) (buffers * REQUEST_BUFFERS_SHARE);
        int openRequests = clamp(left * OPEN_REQUESTS_SHARE / OPEN_REQUEST_BYTES, MIN_OPEN_REQUESTS, MAX_OPEN_REQUESTS);
        double recordsShare = 1 - ENDPOINT_CONNECTIONS_SHARE - BUFFERS_SHARE - OPEN_REQUESTS_SHARE;
        int objectRecords = clamp(left * recordsShare / OBJECT_RECORD_BYTES, MIN_OBJECT_RECORDS, MAX_OBJECT_RECORDS);
        List<Part> growingHeap = List.of(
                new Part("request-buffers", requestBuffers, BUFFER_BYTES),
                new Part("response-buffers", buffers - requestBuffers, BUFFER_BYTES),
                new Part("open-requests", openRequests, OPEN_REQUEST_BYTES),
                new Part("object-records", objectRecords, OBJECT_RECORD_BYTES));
        List<Part> parts = new ArrayList<>(outsideHeap);
        parts.add(new Part("endpoint-connections", endpointConnections, ENDPOINT_CONNECTION_BYTES));
        parts.addAll(fixedHeap);
        parts.addAll(growingHeap);
        return new MemoryBudget(
                mayUse,
                descriptors.clients(),
                endpointConnections,
                resolvers,
                requestBuffers,
                buffers - requestBuffers,
                openRequests,
                objectRecords,
                Math.min(maxHeapBytes, sum(fixedHeap) + sum(growingHeap)),
                List.copyOf(parts));
    }

    /** Two processes of an upgrade share the limit and what is granted in addition. */
    private static long mayUse(long memoryMb, boolean sharesListener) {
        long alone = (long) (memoryMb * MB * USED_SHARE);
        return sharesListener ? Math.min(alone, (memoryMb * MB + UPGRADE_GRANT_BYTES) / 2) : alone;
    }

    private static int clamp(double value, int min, int max) {
        return (int) Math.max(min, Math.min(max, value));
    }

    private static long sum(List<Part> parts) {
        return parts.stream().mapToLong(Part::bytes).sum();
    }

    /** Returns the bytes that all parts together may take. */
    public long neededBytes() {
        return sum(parts);
    }

    /** Returns the same in MB, rounded up. */
    public long neededMb() {
        return (neededBytes() + MB - 1) / MB;
    }

    /** Whether the parts fit into what the process may use; if not, they have their minimum sizes. */
    public boolean isKept() {
        return neededBytes() <= mayUseBytes;
    }

    /** Returns the budget as {@code name=value} for the log, sizes in KB. */
    public String describe() {
        return "may_use_kb=" + mayUseBytes / KB + " needed_kb=" + neededBytes() / KB + " heap_kb=" + heapBytes / KB
                + " "
                + parts.stream()
                        .filter(part -> part.units() > 0)
                        .map(part -> part.name() + "=" + part.units() + "x" + part.bytesEach())
                        .collect(Collectors.joining(" "));
    }
}
