package magpiewheel.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class DemandDistributionTest {
    @Test
    void nothingAskedForIsBelowNothing() {
        assertEquals(0, new DemandDistribution().shareBelow(1));
    }

    @Test
    void timeNotRequestsIsWhatCounts() {
        DemandDistribution demand = new DemandDistribution();
        demand.add(1, 30);
        demand.add(4, 10);
        assertEquals(0.375, demand.shareBelow(1), 1e-9, "half of its like");
        assertEquals(0.75, demand.shareBelow(2), 1e-9);
        assertEquals(0.875, demand.shareBelow(4), 1e-9);
        assertEquals(1, demand.shareBelow(Double.MAX_VALUE), 1e-9);
        assertEquals(0, demand.shareBelow(Double.MIN_VALUE), 1e-9);
    }

    @Test
    void theMeanOverAllTimeAskedForIsAHalf() {
        SplittableRandom random = new SplittableRandom(7);
        DemandDistribution demand = new DemandDistribution();
        double[] times = random.doubles(250, 1, 1_000).toArray();
        for (double time : times) {
            demand.add(1 / time, time);
        }
        double sum = 0;
        double all = 0;
        for (double time : times) {
            sum += time * demand.shareBelow(1 / time);
            all += time;
        }
        assertEquals(0.5, sum / all, 1e-9);
    }

    @Test
    void whatWasAskedForLongAgoFades() {
        DemandDistribution demand = new DemandDistribution();
        for (int i = 0; i < 256; i++) {
            demand.add(8, 1);
        }
        for (int i = 0; i < 2_048; i++) {
            demand.add(1, 1);
        }
        assertTrue(demand.shareBelow(2) > 0.99, "" + demand.shareBelow(2));
    }
}
