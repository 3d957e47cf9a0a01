/**
 * The simulator's wire: batches of records are read from one stream, drive instances of the decision module, and the
 * module's actions are written back. Nothing is decided here.
 */
package magpiewheel.adapter;
