package org.corianderweir.bench.observer;

/**
 * The configuration revision that an entry instance reported as in force.
 *
 * @param instance name of the instance
 * @param process identifier of its operating system process, which tells restarts apart
 * @param askedNanoseconds monotonic time just before the instance was asked
 * @param answeredNanoseconds monotonic time at which the answer arrived
 * @param revision reported revision
 */
public record RevisionSample(
    String instance,
    long process,
    long askedNanoseconds,
    long answeredNanoseconds,
    long revision) {}
