package magpiewheel.engine;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.ByteBuffer;

/** Converts IPv4 addresses from and to integers in network byte order. */
public final class Ipv4 {
    private Ipv4() {}

    /** Returns an address as an integer; 0 if it is not an IPv4 address. */
    public static int toInt(InetSocketAddress address) {
        byte[] bytes = address.getAddress().getAddress();
        return bytes.length == Integer.BYTES ? ByteBuffer.wrap(bytes).getInt() : 0;
    }

    /** Returns the address for an integer. */
    public static InetAddress toAddress(int number) throws UnknownHostException {
        return InetAddress.getByAddress(
                ByteBuffer.allocate(Integer.BYTES).putInt(number).array());
    }
}
