/**
 * Histories of pinned reads: sessions read and write at real fronts under scheduled faults, and a checker judges from
 * outside whether each promise was kept.
 */
package magpiewheel.histories;
