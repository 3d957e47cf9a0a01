package magpiewheel.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class LoadShedderTest {
    private static final long NOW = 1_000_000_000;
    private static final int READ = 0;
    private static final int VALUABLE = 1;
    private static final int WRITE = 2;
    private final List<RequestClass> classes = List.of(
            RequestClass.builder(500_000, 3_000_000).build(),
            RequestClass.builder(500_000, 3_000_000).priorityWeight(4).build(),
            RequestClass.builder(500_000, 3_000_000).write(true).build());
    private final LoadShedder shedder = new LoadShedder(new TransferTimes(classes, 1_000));

    private InFlightRequest request(int requestClass, double sizeKb) {
        RoutingRequest request =
                RoutingRequest.builder(1, requestClass, 77).sizeKb(sizeKb).build();
        return new InFlightRequest(request, classes.get(requestClass), NOW, NOW + 3_000_000, null);
    }

    private void recordDemand(int count, int requestClass, double sizeKb) {
        for (int i = 0; i < count; i++) {
            shedder.requested(request(requestClass, sizeKb));
        }
    }

    @Test
    void requestsOfLowValueForTheirTransferTimeAreShedFirst() {
        recordDemand(50, READ, 100);
        recordDemand(50, READ, 2_000);
        double small = shedder.limitFactor(request(READ, 100));
        double large = shedder.limitFactor(request(READ, 2_000));
        assertTrue(large < small, large + " and " + small);
        assertTrue(large >= 0.5 && small <= 1.5);
    }

    @Test
    void aHigherPriorityWeightIsShedLater() {
        recordDemand(50, READ, 500);
        recordDemand(50, VALUABLE, 500);
        assertTrue(shedder.limitFactor(request(READ, 500)) < shedder.limitFactor(request(VALUABLE, 500)));
    }

    @Test
    void equalRequestsAreShedAtTheLimitItself() {
        recordDemand(50, READ, 500);
        assertEquals(1, shedder.limitFactor(request(READ, 500)), 1e-9);
    }

    @Test
    void writesAreShedLast() {
        recordDemand(50, READ, 1);
        assertEquals(1.5, shedder.limitFactor(request(WRITE, 5_000)), 1e-9);
    }
}
