package org.corianderweir.logic.keys;

/**
 * What a relay of an availability zone said of its zone.
 *
 * @param zone name of the availability zone
 * @param lowestRevision lowest revision in force on an entry instance that it hears there
 * @param highestRevision highest revision that it has heard of
 * @param hasStoreContact whether it knows of a recent answer of the platform's service to anyone
 * @param asOfNanoseconds moment at which this held, by the own monotonic clock; never later than it
 *     was said
 */
public record ZoneReport(
    String zone,
    long lowestRevision,
    long highestRevision,
    boolean hasStoreContact,
    long asOfNanoseconds) {}
