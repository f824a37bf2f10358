package org.corianderweir.logic.keys;

/**
 * "The revision was current at the moment".
 *
 * @param revision revision of the configuration; zero if there was none
 * @param asOfNanoseconds moment by the own monotonic clock
 */
public record RevisionConfirmation(long revision, long asOfNanoseconds) {}
