package magpiewheel.engine;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.ByteBuffer;

/** IPv4 addresses as the four bytes of a number. */
public final class Ipv4 {
    private Ipv4() {}

    /** The number of an address; 0 where it has another length. */
    public static int toInt(InetSocketAddress address) {
        byte[] bytes = address.getAddress().getAddress();
        return bytes.length == Integer.BYTES ? ByteBuffer.wrap(bytes).getInt() : 0;
    }

    /** The address of a number. */
    public static InetAddress toAddress(int number) throws UnknownHostException {
        return InetAddress.getByAddress(
                ByteBuffer.allocate(Integer.BYTES).putInt(number).array());
    }
}
