package magpiewheel.wire;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import magpiewheel.collector.Collector;
import magpiewheel.collector.Sums;
import magpiewheel.records.FlowRecord;

/**
 * A front under an open loop of requests with its export off, on, and with collectors that are down, stalled and
 * flapping: {@code ExportBench REQUESTS_A_SECOND SECONDS ROUNDS}. Latency counts from when a request was due. Not a
 * test.
 */
public final class ExportBench {
    private static final int CONNECTIONS = 8;
    private static final byte[] BODY = new byte[2_000];

    private ExportBench() {}

    /** Runs each way in turn, in so many rounds. */
    public static void main(String[] args) throws Exception {
        int perS = Integer.parseInt(args[0]);
        int seconds = Integer.parseInt(args[1]);
        for (int round = 0; round < Integer.parseInt(args[2]); round++) {
            for (String way : new String[] {"off", "udp", "tcp", "down", "stalled", "flapping"}) {
                run(way, perS, seconds);
            }
        }
        System.exit(0);
    }

    private static void run(String way, int perS, int seconds) throws Exception {
        Sums sums = new Sums();
        InetSocketAddress any = new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0);
        try (Fleet fleet = new Fleet();
                Collector sound = new Collector(any, 32_473, sums::add, (from, why) -> {});
                ServerSocket mute = new ServerSocket(0, 5, InetAddress.getByName("127.0.0.1"));
                StandInNode cache =
                        new StandInNode((line, body) -> StandInNode.done(line, "tell=hit,tag=aa,minted=1", BODY))) {
            InetSocketAddress free;
            try (ServerSocket gone = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
                free = (InetSocketAddress) gone.getLocalSocketAddress();
            }
            Thread flaps = new Thread(() -> flap(free, sums));
            flaps.setDaemon(true);
            String at = switch (way) {
                case "udp" -> "udp:127.0.0.1:" + sound.address().getPort();
                case "tcp" -> "tcp:127.0.0.1:" + sound.address().getPort();
                case "stalled" -> "tcp:127.0.0.1:" + mute.getLocalPort();
                default -> "tcp:127.0.0.1:" + free.getPort();
            };
            if (way.equals("flapping")) {
                flaps.start();
            }
            Fleet.Front front = fleet.front(
                    "n0",
                    Fleet.config(
                            "127.0.0.1:0",
                            0,
                            1,
                            "",
                            Fleet.node("s-00000001", cache.address(), "east", "box"),
                            Fleet.node("s-00000002", cache.address(), "central", "origin")),
                    way.equals("off") ? "{}" : "{\"flows\":{\"enabled\":true,\"collector\":\"" + at + "\"}}");
            AtomicLong octets = new AtomicLong();
            load(front, perS, 2, 1_000_000, null, octets);
            ConcurrentLinkedQueue<long[]> all = new ConcurrentLinkedQueue<>();
            load(front, perS, seconds, 0, all, octets);
            long[] us = all.stream().flatMapToLong(Arrays::stream).sorted().toArray();
            Thread.sleep(7_000);
            Client client = new Client(front.address);
            String counters = OneFront.counters(client);
            System.out.printf(
                    "%-9s %d answers, p50 %.2f ms, p99 %.2f ms, p99.9 %.2f ms; "
                            + "collected %d of %d octets in %d flows, not sent %d; %s%n",
                    way,
                    us.length,
                    us[us.length / 2] / 1e3,
                    us[us.length * 99 / 100] / 1e3,
                    us[us.length * 999 / 1_000] / 1e3,
                    sums.of(FlowRecord.Kind.SEND).octets(),
                    octets.get(),
                    sums.of(FlowRecord.Kind.SEND).flows(),
                    sums.notSent(),
                    counters.replaceAll(
                            ".*(flows=\\d+,flows_dropped=\\d+,flow_sessions=\\d+,"
                                    + "flow_sessions_lost=\\d+,flow_levels=\\d+).*",
                            "$1"));
            flaps.interrupt();
        }
    }

    /** A collector that is there for a second and gone for the next. */
    private static void flap(InetSocketAddress at, Sums sums) {
        try {
            while (true) {
                Collector collector = new Collector(at, 32_473, sums::add, (from, why) -> {});
                Thread.sleep(1_000);
                collector.close();
                Thread.sleep(1_000);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            System.err.println("flapping collector: " + e);
        }
    }

    private static void load(
            Fleet.Front front,
            int perS,
            int seconds,
            int firstTag,
            ConcurrentLinkedQueue<long[]> into,
            AtomicLong octets)
            throws InterruptedException {
        List<Thread> threads = new ArrayList<>();
        long start = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(50);
        long gap = TimeUnit.SECONDS.toNanos(1) * CONNECTIONS / perS;
        int count = perS * seconds / CONNECTIONS;
        for (int c = 0; c < CONNECTIONS; c++) {
            int number = c;
            Thread thread = new Thread(() -> {
                long[] us = new long[count];
                try (Client client = new Client(front.address)) {
                    Thread reader = new Thread(() -> {
                        try {
                            for (int i = 0; i < count; i++) {
                                Client.Answer answer = client.answer();
                                int tag = Integer.parseInt(answer.tag());
                                int place = (tag - firstTag - 1) / CONNECTIONS;
                                us[place] =
                                        (System.nanoTime() - start - number * gap / CONNECTIONS - place * gap) / 1_000;
                                octets.addAndGet(frame(answer));
                            }
                        } catch (IOException e) {
                            System.err.println("reader: " + e);
                        }
                    });
                    reader.start();
                    for (int i = 0; i < count; i++) {
                        long due = start + number * gap / CONNECTIONS + i * gap;
                        while (System.nanoTime() < due) {
                            TimeUnit.NANOSECONDS.sleep(Math.max(0, due - System.nanoTime()));
                        }
                        client.ask(
                                firstTag + i * CONNECTIONS + number + 1,
                                "static",
                                String.format("%016x", 16 + i % 64),
                                2_000,
                                "");
                    }
                    reader.join();
                    if (into != null) {
                        into.add(us);
                    }
                } catch (IOException | InterruptedException e) {
                    System.err.println("client: " + e);
                }
            });
            threads.add(thread);
            thread.start();
        }
        for (Thread thread : threads) {
            thread.join();
        }
    }

    private static int frame(Client.Answer answer) {
        return ("*4\r\n$" + answer.tag().length() + "\r\n" + answer.tag() + "\r\n$"
                                + answer.word().length() + "\r\n" + answer.word() + "\r\n$"
                                + answer.fields().length() + "\r\n" + answer.fields() + "\r\n$" + answer.body().length
                                + "\r\n\r\n")
                        .length()
                + answer.body().length;
    }
}
