/**
 * The program's entry: {@link magpiewheel.Main} wires the parts of a front together, and the practice before {@code UP}
 * has the real code compiled by made-up requests.
 */
package magpiewheel;
