package magpiewheel.dns;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Predicate;

/**
 * The sockets of this machine as Linux lists them (proc(5), {@code /proc/net} and {@code /proc/PID/fd}): which are
 * bound to an address, and which belong to processes of the same router. Sockets are named by their inodes.
 */
final class SocketTable {
    private static final Path PROC = Path.of("/proc");
    private static final Path OWN_DESCRIPTOR_0 = PROC.resolve("self/fd/0");
    private static final String SOCKET_LINK = "socket:[";
    private static final String TCP_LISTEN = "0A";
    private static final int HEX = 16;

    private static final int LOCAL_ADDRESS_COLUMN = 1;
    private static final int STATE_COLUMN = 3;
    private static final int INODE_COLUMN = 9;

    private SocketTable() {}

    /** Whether this system has the tables. */
    static boolean isAvailable() {
        return Files.isReadable(PROC.resolve("net/tcp")) && Files.exists(OWN_DESCRIPTOR_0);
    }

    /** Returns the TCP listeners and the UDP sockets that keep others from binding to an address. */
    static Set<Long> boundTo(InetSocketAddress address) throws IOException {
        Set<Long> inodes = listenersAt(address);
        for (String table : new String[] {"udp", "udp6"}) {
            addMatches(table, row -> true, address, inodes);
        }
        return inodes;
    }

    /** Returns the TCP listeners at an address. */
    static Set<Long> listenersAt(InetSocketAddress address) throws IOException {
        Set<Long> inodes = new HashSet<>();
        for (String table : new String[] {"tcp", "tcp6"}) {
            // Listeners come first, before all connections.
            addMatches(table, row -> row[STATE_COLUMN].equals(TCP_LISTEN), address, inodes);
        }
        return inodes;
    }

    /**
     * Returns the sockets of all processes that were given the same descriptor 0 as this one: those that serve the same
     * inherited listener are processes of one router. Processes of other users are left out.
     */
    static Set<Long> heldByThisRouter() throws IOException {
        String listener = Files.readSymbolicLink(OWN_DESCRIPTOR_0).toString();
        Set<Long> inodes = new HashSet<>();
        try (DirectoryStream<Path> processes = Files.newDirectoryStream(PROC, "[0-9]*")) {
            for (Path process : processes) {
                if (listener.equals(target(process.resolve("fd/0")))) {
                    addSockets(process.resolve("fd"), inodes);
                }
            }
        }
        return inodes;
    }

    private static void addSockets(Path descriptors, Set<Long> inodes) {
        try (DirectoryStream<Path> links = Files.newDirectoryStream(descriptors)) {
            for (Path link : links) {
                String target = target(link);
                if (target.startsWith(SOCKET_LINK)) {
                    inodes.add(Long.parseLong(target.substring(SOCKET_LINK.length(), target.length() - 1)));
                }
            }
        } catch (IOException e) {
            // The process has ended.
        }
    }

    private static String target(Path link) {
        try {
            return Files.readSymbolicLink(link).toString();
        } catch (IOException e) {
            // Closed meanwhile, or of another user.
            return "";
        }
    }

    /** Adds the sockets of a table at an address, up to the first row that is not wanted. */
    private static void addMatches(
            String table, Predicate<String[]> wanted, InetSocketAddress address, Set<Long> inodes) throws IOException {
        Path file = PROC.resolve("net").resolve(table);
        if (!Files.exists(file)) {
            return;
        }
        try (BufferedReader rows = Files.newBufferedReader(file, StandardCharsets.US_ASCII)) {
            rows.readLine();
            for (String line = rows.readLine(); line != null; line = rows.readLine()) {
                String[] row = line.trim().split("\\s+");
                if (!wanted.test(row)) {
                    return;
                }
                if (conflicts(row[LOCAL_ADDRESS_COLUMN], address)) {
                    inodes.add(Long.parseLong(row[INODE_COLUMN]));
                }
            }
        }
    }

    /** Whether a socket with this local address ({@code HEXADDRESS:HEXPORT}) keeps others from binding to another. */
    private static boolean conflicts(String local, InetSocketAddress address) throws IOException {
        int colon = local.indexOf(':');
        if (Integer.parseInt(local.substring(colon + 1), HEX) != address.getPort()) {
            return false;
        }
        InetAddress bound = parse(local.substring(0, colon));
        return bound.isAnyLocalAddress()
                || address.getAddress().isAnyLocalAddress()
                || bound.equals(address.getAddress());
    }

    /** Parses an address, which Linux prints as words in the byte order of the machine. */
    private static InetAddress parse(String hex) throws IOException {
        int hexDigitsPerWord = 2 * Integer.BYTES;
        ByteBuffer bytes = ByteBuffer.allocate(hex.length() / 2).order(ByteOrder.nativeOrder());
        for (int i = 0; i < hex.length(); i += hexDigitsPerWord) {
            bytes.putInt(Integer.parseUnsignedInt(hex.substring(i, i + hexDigitsPerWord), HEX));
        }
        return InetAddress.getByAddress(bytes.array());
    }
}
