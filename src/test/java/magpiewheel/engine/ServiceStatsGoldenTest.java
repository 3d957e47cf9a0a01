package magpiewheel.engine;

import static org.testng.Assert.assertEquals;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.testng.annotations.Test;

/** Checks names and order of the counters and of the admin server's figures, which operators' tools read. */
public class ServiceStatsGoldenTest {
    /** As in the reply to the command {@code COUNTERS}. */
    @Test
    public void countersKeepTheirNamesAndOrder() {
        assertEquals(
                new Counters().toString().replace("=0", ""),
                "clients,clients_turned_away,clients_made_room,clients_silent,client_bound,"
                        + "client_garbage,requests,bad_requests,given_up_by_client,served,unchanged,refused,"
                        + "failed,overdue,mailbox_full,buffers_out,attempts,written,dials,dials_failed,"
                        + "node_broken,node_garbage,node_strays,spoilt,done,kept,lacked,turned_away,errors,"
                        + "past,timed_out,cancelled,own_copies,hinted,refused_by_hint,aged,board_connects,"
                        + "board_events,board_garbage,reloads,reloads_failed,peer_sent,peer_received,"
                        + "peer_dropped,knocks,knocks_refused,dns_queries,dns_answers,dns_dropped,flows,"
                        + "flows_dropped,flow_sessions,flow_sessions_lost,flow_levels,link_crowded,door_calls,"
                        + "door_turned_away,door_garbage,sent_away,faults");
    }

    /** As in the response to {@code GET /admin/stats}. */
    @Test
    public void figuresKeepTheirNamesAndOrder() {
        ServiceStats stats = new ServiceStats(List.of("video", "static"), new Counters());
        Map<String, Long> optionalFigures = new LinkedHashMap<>();
        optionalFigures.put("region_verdict", 1L);
        stats.optionalFigures(optionalFigures);
        stats.requestEnded(1, PendingRequest.Outcome.REJECTED);
        assertEquals(
                stats.format(3).replace("\n", " "),
                "gw.success.video=0 gw.busy.video=0 gw.failure.video=0 gw.success.static=0 "
                        + "gw.busy.static=1 gw.failure.static=0 gw.backend_calls=0 gw.inflight=3 "
                        + "gw.hosts_listed=0 gw.hosts_down=0 gw.fleet_verdict=0 gw.fleet_heard=0 gw.hinted=0 "
                        + "gw.refused_by_hint=0 gw.aged=0 gw.region_verdict=1 gw.reconfig_ok=0 "
                        + "gw.reconfig_failed=0 ");
    }
}
