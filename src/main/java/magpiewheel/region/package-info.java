/**
 * Regions: zones whose misses are filled through one common parent, which their routers elect by leases. Contains the
 * assignment of zones, elections, ranking and suspicion of parents, migration of load and admission of fills. Uses no
 * clocks, sockets or threads of its own.
 */
package magpiewheel.region;
