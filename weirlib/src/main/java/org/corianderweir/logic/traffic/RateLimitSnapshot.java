package org.corianderweir.logic.traffic;

/**
 * What decided about a request of an organisation with a limit.
 *
 * @param organisation the organisation
 * @param limitPerSecond its limit over the whole fleet
 * @param demandPerSecond what it asks of the instances that are known of
 * @param instances number of these instances
 * @param share part of the limit that this instance may admit
 */
public record RateLimitSnapshot(
    String organisation,
    double limitPerSecond,
    double demandPerSecond,
    int instances,
    double share) {}
