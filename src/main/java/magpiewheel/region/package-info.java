/**
 * Regions: zones whose misses meet at one parent, which their routers elect by leases. Assignment of zones, election,
 * ranking and suspicion of parents, migration of load, admission of fills. Free of clocks, sockets and threads.
 */
package magpiewheel.region;
