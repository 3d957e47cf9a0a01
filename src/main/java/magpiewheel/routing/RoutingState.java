package magpiewheel.routing;

/** State that several decisions share and update: endpoints, objects, fills in flight and measured times. */
final class RoutingState {
    private final EndpointTable endpoints;
    private final PurgeLog purges = new PurgeLog();
    private final PurgedCopyPolicy purgedCopies;
    private final HolderTable holders;
    private final TransferTimes transfers;
    private final LoadShedder shedder;
    private final FillCoalescer fills = new FillCoalescer();
    private final RegionBridge regions;
    private final StalenessBridge staleness;

    /** Creates the state of a router that has no endpoints yet. */
    RoutingState(RoutingSettings settings, RegionBridge regions, StalenessBridge staleness) {
        this.regions = regions;
        this.staleness = staleness;
        holders = new HolderTable(purges, settings.maxObjectRecords());
        purgedCopies =
                new PurgedCopyPolicy(purges, settings.safetyLimits().purgeCompletionUs(), settings.longestDeadlineUs());
        endpoints =
                new EndpointTable(settings.topology(), settings.safetyLimits().overloadWindowUs());
        transfers =
                new TransferTimes(settings.requestClasses(), settings.topology().transferKbPerS());
        shedder = new LoadShedder(transfers);
    }

    EndpointTable endpoints() {
        return endpoints;
    }

    PurgeLog purges() {
        return purges;
    }

    PurgedCopyPolicy purgedCopies() {
        return purgedCopies;
    }

    HolderTable holders() {
        return holders;
    }

    TransferTimes transfers() {
        return transfers;
    }

    LoadShedder shedder() {
        return shedder;
    }

    FillCoalescer fills() {
        return fills;
    }

    RegionBridge regions() {
        return regions;
    }

    StalenessBridge staleness() {
        return staleness;
    }
}
