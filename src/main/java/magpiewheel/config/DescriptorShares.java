package magpiewheel.config;

import java.util.function.IntUnaryOperator;

/**
 * How the descriptors of the process are shared out: so many connections from clients, to nodes, and from resolvers
 * over TCP. What the program itself opens comes first, so that discovery, other fronts and a reload find a descriptor
 * however many clients hold theirs.
 */
public record DescriptorShares(int clients, int endpointConnections, int resolvers) {
    /**
     * Jar, class archive, logs, listeners, peers, board, what the virtual machine opens for itself (11), operators'
     * calls.
     */
    static final int RESERVED = 28;
    /** Where lookups are answered: both listeners, and one each to turn a newcomer away. */
    static final int DNS_RESERVED = 4;
    /** Resolvers over TCP, where there is room for them. */
    private static final int MAX_RESOLVERS = 32;

    static final int MIN_ENDPOINT_CONNECTIONS = 8;
    /**
     * Usual clients hold a third of the descriptors at most; for those who come and have asked nothing yet there is
     * more.
     */
    private static final int MAX_NEW_CLIENTS = 20;

    private static final int CLIENT_SHARE_DIVISOR = 3;

    /**
     * Shares out {@code sockets} descriptors, within the bounds of the application's configuration. {@code held} tells
     * how many so many clients take, with those whose connections are ending.
     */
    public static DescriptorShares of(int sockets, AppConfig app, IntUnaryOperator descriptorsForClients) {
        int remaining = sockets - RESERVED - (app.dns() ? DNS_RESERVED : 0);
        int activeClients = sockets / CLIENT_SHARE_DIVISOR;
        int spare = remaining - descriptorsForClients.applyAsInt(activeClients) - MIN_ENDPOINT_CONNECTIONS;
        int resolvers = app.dns() ? Math.max(1, Math.min(MAX_RESOLVERS, spare)) : 0;
        remaining -= resolvers;
        // Newcomers get what is left at most: usual clients are owed their third.
        int newClients = MAX_NEW_CLIENTS;
        while (newClients > 0
                && descriptorsForClients.applyAsInt(activeClients + newClients)
                        > remaining - MIN_ENDPOINT_CONNECTIONS) {
            newClients--;
        }
        int clients = Math.min(app.clients(), activeClients + newClients);
        int endpointConnections =
                Math.min(app.endpointConnections(), remaining - descriptorsForClients.applyAsInt(clients));
        return new DescriptorShares(clients, Math.max(MIN_ENDPOINT_CONNECTIONS, endpointConnections), resolvers);
    }
}
