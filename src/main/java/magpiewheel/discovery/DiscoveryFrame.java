package magpiewheel.discovery;

import java.util.function.Consumer;
import magpiewheel.engine.Engine;

/**
 * A whole frame of the discovery service.
 *
 * @param revision the number of its event, or of the last event before an empty frame
 * @param event passes the event on to an engine; null in an empty frame
 */
record DiscoveryFrame(long revision, Consumer<Engine> event) {
    boolean isEmpty() {
        return event == null;
    }
}
