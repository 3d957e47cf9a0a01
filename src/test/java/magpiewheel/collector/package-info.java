/** Tests of the collector of flows. */
package magpiewheel.collector;
