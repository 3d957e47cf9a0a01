package magpiewheel.dns;

import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import magpiewheel.engine.Counter;
import magpiewheel.engine.Counters;
import magpiewheel.engine.Engine;

/**
 * Answers queries: names and response codes are determined here, the engine supplies the addresses of serving routers
 * and of the cache selected for an object. Thread-safe.
 */
final class QueryResolver {
    private final List<String> dnsZone;
    private final List<String> zoneNames;
    private final Engine engine;
    private final Counters counters;

    /** Creates a resolver for a DNS zone; the names of zones of routers, by zone number, are its subdomains. */
    QueryResolver(String dnsZone, List<String> zoneNames, Engine engine, Counters counters) {
        this.dnsZone = List.of(dnsZone.toLowerCase(Locale.ROOT).split("\\."));
        this.zoneNames =
                zoneNames.stream().map(name -> name.toLowerCase(Locale.ROOT)).toList();
        this.engine = engine;
        this.counters = counters;
    }

    /** Answers a query by one callback, on any thread; returns false, without a callback, if it gets no response. */
    boolean resolve(byte[] bytes, int length, boolean overTcp, Consumer<byte[]> reply) {
        DnsMessage.Query query = DnsMessage.parse(bytes, length, overTcp);
        if (query == null) {
            counters.add(Counter.DNS_DROPPED);
            return false;
        }
        counters.add(Counter.DNS_QUERIES);
        int relativeCount = query.labels().size() - dnsZone.size();
        if (query.error() != DnsMessage.NOERROR) {
            reply.accept(DnsMessage.rcodeResponse(query, query.error()));
        } else if (query.qclass() != DnsMessage.CLASS_IN
                || relativeCount < 0
                || !query.labels()
                        .subList(relativeCount, relativeCount + dnsZone.size())
                        .equals(dnsZone)) {
            reply.accept(DnsMessage.rcodeResponse(query, DnsMessage.REFUSED));
        } else {
            answerInZone(query, query.labels().subList(0, relativeCount), reply);
        }
        return true;
    }

    private void answerInZone(DnsMessage.Query query, List<String> relativeLabels, Consumer<byte[]> reply) {
        int zone = relativeLabels.isEmpty() ? -1 : zoneNames.indexOf(relativeLabels.get(relativeLabels.size() - 1));
        Long objectId = relativeLabels.size() == 2 ? parseObjectId(relativeLabels.get(0)) : null;
        boolean exists = relativeLabels.isEmpty() || zone >= 0 && (relativeLabels.size() == 1 || objectId != null);
        if (!exists) {
            reply.accept(DnsMessage.soaResponse(query, DnsMessage.NXDOMAIN, dnsZone, false));
        } else if (relativeLabels.isEmpty() && query.type() == DnsMessage.TYPE_SOA) {
            reply.accept(DnsMessage.soaResponse(query, DnsMessage.NOERROR, dnsZone, true));
        } else if (relativeLabels.isEmpty()
                || query.type() != DnsMessage.TYPE_A && query.type() != DnsMessage.TYPE_ANY) {
            reply.accept(DnsMessage.soaResponse(query, DnsMessage.NOERROR, dnsZone, false));
        } else {
            engine.lookup(
                    zone,
                    objectId,
                    addresses -> reply.accept(
                            addresses.isEmpty()
                                    ? DnsMessage.rcodeResponse(query, DnsMessage.SERVFAIL)
                                    : DnsMessage.addressResponse(query, addresses)));
        }
    }

    private static Long parseObjectId(String label) {
        return label.matches("[0-9a-f]{16}") ? Long.parseUnsignedLong(label, 16) : null;
    }
}
