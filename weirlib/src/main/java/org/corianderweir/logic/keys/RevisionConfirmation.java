package org.corianderweir.logic.keys;

/**
 * States that a revision was the current one at a given time.
 *
 * @param revision revision of the configuration; zero if there was none
 * @param asOfNanoseconds the time, on this process's monotonic clock
 */
public record RevisionConfirmation(long revision, long asOfNanoseconds) {}
