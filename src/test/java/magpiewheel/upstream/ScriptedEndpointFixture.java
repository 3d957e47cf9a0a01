package magpiewheel.upstream;

import java.io.IOException;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;

/** Connects the engine to an endpoint that the test scripts line by line. */
abstract class ScriptedEndpointFixture {
    ScriptedEndpoint endpoint;
    UpstreamHarness harness;

    /** Starts the endpoint, and the engine that is connected to it. */
    @BeforeMethod
    public void start() throws IOException {
        endpoint = new ScriptedEndpoint();
        harness = new UpstreamHarness(endpoint.address());
    }

    /** Stops both. */
    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
        harness.close();
        endpoint.close();
    }
}
