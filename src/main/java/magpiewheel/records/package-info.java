/**
 * Flows as values, and the bounded ring without a lock by which they get from the threads that see them to the
 * exporter.
 */
package magpiewheel.records;
