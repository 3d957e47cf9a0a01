package magpiewheel.config;

import java.util.function.IntUnaryOperator;

/**
 * How the descriptors of the process are shared out: so many connections from clients, to nodes, and from resolvers
 * over TCP. What the program itself opens comes first, so that discovery, other fronts and a reload find a descriptor
 * however many clients hold theirs.
 */
public record DescriptorShares(int clients, int nodeConnections, int resolvers) {
    /**
     * Jar, class archive, logs, listeners, peers, board, what the virtual machine opens for itself (11), operators'
     * calls.
     */
    static final int OWN = 28;
    /** Where lookups are answered: both listeners, and one each to turn a newcomer away. */
    static final int DNS = 4;
    /** Resolvers over TCP, where there is room for them. */
    private static final int MOST_RESOLVERS = 32;

    static final int LEAST_TO_NODES = 8;
    /**
     * Usual clients hold a third of the descriptors at most; for those who come and have asked nothing yet there is
     * more.
     */
    private static final int NEWCOMERS = 20;

    private static final int CLIENTS_PART = 3;

    /**
     * Shares out {@code sockets} descriptors, within the bounds of the application's configuration. {@code held} tells
     * how many so many clients take, with those whose connections are ending.
     */
    public static DescriptorShares of(int sockets, AppConfig app, IntUnaryOperator held) {
        int left = sockets - OWN - (app.dns() ? DNS : 0);
        int usual = sockets / CLIENTS_PART;
        int spare = left - held.applyAsInt(usual) - LEAST_TO_NODES;
        int resolvers = app.dns() ? Math.max(1, Math.min(MOST_RESOLVERS, spare)) : 0;
        left -= resolvers;
        // Newcomers get what is left at most: usual clients are owed their third.
        int newcomers = NEWCOMERS;
        while (newcomers > 0 && held.applyAsInt(usual + newcomers) > left - LEAST_TO_NODES) {
            newcomers--;
        }
        int clients = Math.min(app.clients(), usual + newcomers);
        int toNodes = Math.min(app.nodeConnections(), left - held.applyAsInt(clients));
        return new DescriptorShares(clients, Math.max(LEAST_TO_NODES, toNodes), resolvers);
    }
}
