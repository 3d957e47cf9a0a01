package magpiewheel.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Names and order of the statistics of features that are disabled by default; operators' tools read them. */
class StatisticNamesGoldenTest {
    @Test
    void namesAndOrderOfTheStatisticsOfRegionsAndBoundedReads() {
        RoutingSettings settings = RegionalFleetWorld.settings(0);
        RequestRouter requestRouter = new RequestRouter(
                settings,
                1,
                new RecordingActions(),
                settings.topology().membershipConfig(0, 50_000, 1_800_000_000_000L, false),
                settings.regionConfig(1_800_000_000_000L, 0),
                true);
        requestRouter.endpointsChanged(1_800_000_000_000_000L, EndpointListMode.CACHED, List.of());
        assertEquals(
                "region_verdict region_leader region_term region_branches region_led region_spilled "
                        + "region_no_region region_cut_off region_no_lease region_gone region_doubted "
                        + "region_not_moved region_cold region_paced pins_held pins_uncertain_ms pins_board "
                        + "pins_clock_steps pins_spoilt",
                String.join(
                        " ", requestRouter.statistics(1_800_000_000_000_000L).keySet()));
    }
}
