package org.corianderweir.logic.traffic;

import java.time.Duration;
import java.util.Optional;

/**
 * The state of a rate limit at the time of a decision.
 *
 * @param organisation name of the organisation
 * @param limitPerSecond limit over the whole fleet, in requests per second
 * @param demandPerSecond demand on the instances that report it, in requests per second
 * @param instances number of instances that report their demand
 * @param share ratio of the limit that this instance may admit
 * @param digestAge time since the demand of the others was last received; empty if it never was
 */
public record RateLimitSnapshot(
    String organisation,
    double limitPerSecond,
    double demandPerSecond,
    int instances,
    double share,
    Optional<Duration> digestAge) {}
