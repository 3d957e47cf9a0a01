package magpiewheel.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class DemandDistributionTest {
    @Test
    void shareIsZeroWithoutDemand() {
        assertEquals(0, new DemandDistribution().shareBelow(1));
    }

    @Test
    void shareIsMeasuredInTransferTimeNotRequests() {
        DemandDistribution demand = new DemandDistribution();
        demand.add(1, 30);
        demand.add(4, 10);
        assertEquals(0.375, demand.shareBelow(1), 1e-9, "half of the demand in the same bucket counts as lower");
        assertEquals(0.75, demand.shareBelow(2), 1e-9);
        assertEquals(0.875, demand.shareBelow(4), 1e-9);
        assertEquals(1, demand.shareBelow(Double.MAX_VALUE), 1e-9);
        assertEquals(0, demand.shareBelow(Double.MIN_VALUE), 1e-9);
    }

    @Test
    void shareAveragedOverAllTransferTimeIsOneHalf() {
        SplittableRandom random = new SplittableRandom(7);
        DemandDistribution demand = new DemandDistribution();
        double[] transferTimes = random.doubles(250, 1, 1_000).toArray();
        for (double transferTime : transferTimes) {
            demand.add(1 / transferTime, transferTime);
        }
        double weightedShare = 0;
        double totalTransferTime = 0;
        for (double transferTime : transferTimes) {
            weightedShare += transferTime * demand.shareBelow(1 / transferTime);
            totalTransferTime += transferTime;
        }
        assertEquals(0.5, weightedShare / totalTransferTime, 1e-9);
    }

    @Test
    void oldDemandDecays() {
        DemandDistribution demand = new DemandDistribution();
        for (int i = 0; i < 256; i++) {
            demand.add(8, 1);
        }
        for (int i = 0; i < 2_048; i++) {
            demand.add(1, 1);
        }
        assertTrue(demand.shareBelow(2) > 0.99, "share of demand below density 2: " + demand.shareBelow(2));
    }
}
