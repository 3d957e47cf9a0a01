/**
 * What the export of flows keeps under pressure and whom it sends to: levels of detail, aggregates, the budget for what
 * was stored, and the choice of a collector. It has no socket and no clock.
 */
package magpiewheel.pressure;
