package magpiewheel.config;

import java.util.function.IntUnaryOperator;

/**
 * Divides the file descriptors of the process: maximum numbers of client connections, of connections to endpoints, and
 * of TCP connections from DNS resolvers. Descriptors for the router itself are reserved first, so that discovery, peers
 * and a configuration reload can always open one, however many clients are connected.
 */
public record DescriptorShares(int clients, int endpointConnections, int resolvers) {
    /**
     * Descriptors for the jar, the class archive, logs, listeners, peers, discovery, the virtual machine itself (11),
     * the selector of the clients' poller (2) and requests to the admin server.
     */
    static final int RESERVED = 30;
    /** Descriptors for DNS: the UDP and TCP listeners, and two to accept and reject excess connections. */
    static final int DNS_RESERVED = 4;
    /** Maximum number of TCP connections from resolvers; fewer if descriptors are short. */
    private static final int MAX_RESOLVERS = 32;

    /** Endpoints get one less than this with DNS and the smallest number of descriptors. */
    static final int MIN_ENDPOINT_CONNECTIONS = 8;
    /**
     * Maximum number of connections added to the clients' third of the descriptors, for clients that have connected but
     * not yet sent a request.
     */
    private static final int MAX_NEW_CLIENTS = 20;

    private static final int CLIENT_SHARE_DIVISOR = 3;

    /**
     * Divides {@code sockets} descriptors within the limits of the application's configuration.
     * {@code descriptorsForClients} returns the descriptors that a number of clients can hold, including connections
     * that are closing.
     */
    public static DescriptorShares of(int sockets, AppConfig app, IntUnaryOperator descriptorsForClients) {
        int remaining = sockets - RESERVED - (app.dns() ? DNS_RESERVED : 0);
        int activeClients = sockets / CLIENT_SHARE_DIVISOR;
        int spare = remaining - descriptorsForClients.applyAsInt(activeClients) - MIN_ENDPOINT_CONNECTIONS;
        int resolvers = app.dns() ? Math.max(1, Math.min(MAX_RESOLVERS, spare)) : 0;
        remaining -= resolvers;
        // New clients get at most the remainder: the third for active clients is guaranteed.
        int newClients = MAX_NEW_CLIENTS;
        while (newClients > 0
                && descriptorsForClients.applyAsInt(activeClients + newClients)
                        > remaining - MIN_ENDPOINT_CONNECTIONS) {
            newClients--;
        }
        int clients = Math.min(app.clients(), activeClients + newClients);
        int endpointConnections =
                Math.min(app.endpointConnections(), remaining - descriptorsForClients.applyAsInt(clients));
        return new DescriptorShares(clients, Math.max(1, endpointConnections), resolvers);
    }
}
