/** Measurements of single parts beside plain ways to do the same, run by hand; no tests. */
package magpiewheel.bench;
