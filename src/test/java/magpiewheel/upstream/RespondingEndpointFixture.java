package magpiewheel.upstream;

import java.io.IOException;
import magpiewheel.wire.StandInNode;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;

/** Connects the engine to an endpoint that answers every request at once. */
abstract class RespondingEndpointFixture {
    StandInNode endpoint;
    UpstreamHarness harness;

    /** Starts the endpoint, and the engine that is connected to it. */
    @BeforeMethod
    public void start() throws IOException {
        endpoint = new StandInNode((line, body) -> StandInNode.done(line, "tell=hit,tag=aa,minted=1", new byte[10]));
        harness = new UpstreamHarness(endpoint.address());
    }

    /** Stops both. */
    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
        harness.close();
        endpoint.close();
    }
}
