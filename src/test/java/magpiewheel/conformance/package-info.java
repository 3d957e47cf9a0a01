/**
 * Tables of documentation pages as test cases: reads them, runs their rows step by step, and compares the results with
 * {@code docs/CONFORMANCE.md}.
 */
package magpiewheel.conformance;
