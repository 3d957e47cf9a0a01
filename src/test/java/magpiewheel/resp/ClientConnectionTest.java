package magpiewheel.resp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import magpiewheel.core.AnswerWatch;
import magpiewheel.core.BufferPool;
import magpiewheel.core.Counters;
import magpiewheel.core.Crew;
import magpiewheel.core.Figures;
import magpiewheel.core.UnixClock;
import org.junit.jupiter.api.Test;

class ClientConnectionTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private final Counters counters = new Counters();
    private final RespFront.Shared shared = new RespFront.Shared(
            null,
            new BufferPool(4, counters),
            counters,
            new UnixClock(),
            List.of("video"),
            List.of(1_000_000L),
            () -> true,
            new Crew(),
            new Figures(List.of("video"), counters),
            new Leave(),
            AnswerWatch.NONE,
            false);

    private static void until(BooleanSupplier holds) throws InterruptedException {
        for (int i = 0; !holds.getAsBoolean(); i++) {
            assertTrue(i < 10_000, "never happened");
            Thread.sleep(1);
        }
    }

    /**
     * Seen at a rolling restart: connections whose request had come but not had its turn were closed to make room, and
     * came again, 800 in a second.
     */
    @Test
    void aConnectionWithARequestOnItsWayIsNeverSpare() throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                Socket client = new Socket(listener.getInetAddress(), listener.getLocalPort());
                Socket accepted = listener.accept()) {
            ClientConnection connection = new ClientConnection(accepted, shared, gone -> {});
            assertTrue(connection.spare(System.nanoTime() + SECOND) > 0, "silent and not young");
            client.getOutputStream().write("*2\r\n$6\r\nSTA".getBytes());
            until(() -> {
                try {
                    return accepted.getInputStream().available() > 0;
                } catch (java.io.IOException e) {
                    return false;
                }
            });
            Thread.sleep(60);
            assertFalse(connection.closeUnused(), "what waits in the socket is work");
            connection.begin();
            until(() -> connection.spare(System.nanoTime() + SECOND / 10) == 0);
            assertTrue(connection.spare(System.nanoTime() + SECOND) > 0, "but half a request is not for long");
            client.getOutputStream().write("TUS\r\n$1\r\n7\r\n".getBytes());
            byte[] answer = new byte[5];
            assertEquals(5, client.getInputStream().readNBytes(answer, 0, 5));
            until(() -> connection.unused(System.nanoTime() + SECOND, false));
            until(connection::closeUnused);
            until(accepted::isClosed);
        }
    }

    /** A crowd that says nothing must not hold the places for long; a newcomer's request is on its way for a moment. */
    @Test
    void aNewcomerIsSparedForAMomentOnly() throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                Socket client = new Socket(listener.getInetAddress(), listener.getLocalPort());
                Socket accepted = listener.accept()) {
            long before = System.nanoTime();
            ClientConnection connection = new ClientConnection(accepted, shared, gone -> {});
            assertEquals(0, connection.spare(before + SECOND / 100));
            assertTrue(connection.spare(System.nanoTime() + SECOND / 40) > 0);
            assertTrue(client.isConnected());
        }
    }
}
