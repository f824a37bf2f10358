package org.corianderweir.logic.keys;

/**
 * A report by a relay about its availability zone.
 *
 * @param zone name of the availability zone
 * @param lowestRevision lowest revision in force among the entry instances of the zone whose
 *     heartbeats the relay receives
 * @param highestRevision highest revision that the relay knows of
 * @param hasStoreContact whether the relay knows of a recent response of the platform's store to
 *     any instance
 * @param asOfNanoseconds time at which the report was true, on this process's monotonic clock;
 *     never later than the time at which it was sent
 */
public record ZoneReport(
    String zone,
    long lowestRevision,
    long highestRevision,
    boolean hasStoreContact,
    long asOfNanoseconds) {}
