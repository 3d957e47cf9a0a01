/**
 * Tables of documentation pages as test cases: reading them, running their rows step by step, and holding
 * {@code docs/CONFORMANCE.md} against what the rows came to.
 */
package magpiewheel.conformance;
