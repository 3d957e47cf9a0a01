/**
 * The simulator adapter: reads batches of records from one stream, passes them as events to routing policy instances
 * and writes the actions of these instances back. It makes no routing decisions.
 */
package magpiewheel.adapter;
