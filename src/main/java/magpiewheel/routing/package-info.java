/**
 * The routing decisions: which cache a request goes to, where a miss is filled from, what is retried, shed or rejected.
 *
 * <p>{@link magpiewheel.routing.RoutingPolicy} is the contract. {@link magpiewheel.routing.RequestRouter} makes the
 * decisions in order; each decision is a class of its own. The package has no clock and no socket: times and events are
 * passed in, and identical events yield identical actions.
 */
package magpiewheel.routing;
