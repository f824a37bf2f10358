package org.corianderweir.bench.observer;

/**
 * The configuration revision that an entry instance said it has in force.
 *
 * @param instance name of the instance
 * @param process number of its process, so that a restart counts as another
 * @param askedNanoseconds monotonic time before it was asked
 * @param answeredNanoseconds monotonic time at which the answer was there
 * @param revision revision
 */
public record RevisionSample(
    String instance,
    long process,
    long askedNanoseconds,
    long answeredNanoseconds,
    long revision) {}
