package org.corianderweir.model.configuration;

/**
 * A tenant whose callers share a rate and a burst over the whole fleet.
 *
 * @param name unique name
 * @param requestsPerSecond sustained rate, above zero
 * @param burst requests that may be admitted at once after a quiet time, at least one
 * @param keyStalenessMilliseconds how long an entry instance that can't confirm the configuration
 *     goes on to accept the organisation's keys; zero means the fleet's own limit
 */
public record Organisation(
    String name, double requestsPerSecond, int burst, long keyStalenessMilliseconds) {}
