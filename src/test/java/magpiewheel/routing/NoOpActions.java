package magpiewheel.routing;

/** Ignores the actions that a simulation does not need; subclasses implement the others. */
abstract class NoOpActions implements RoutingActions {
    @Override
    public void cancelAttempt(long request, int attempt) {}

    @Override
    public void reject(long request, long backoffUs) {}

    @Override
    public void fail(long request) {}

    @Override
    public void checkHealth(long node) {}

    @Override
    public void subscribe(boolean on) {}

    @Override
    public void fetchEndpointList() {}

    @Override
    public void log(String line) {}
}
