package org.corianderweir.model.configuration;

/**
 * A tenant. All its callers share one rate limit and one burst in the whole fleet.
 *
 * @param name unique name
 * @param requestsPerSecond sustained rate limit, above zero
 * @param burst largest number of requests that are admitted at once after a time without requests,
 *     at least one
 * @param keyStalenessMilliseconds how long an entry instance that can't confirm that its
 *     configuration is current continues to accept the organisation's keys; zero means the limit of
 *     the fleet
 */
public record Organisation(
    String name, double requestsPerSecond, int burst, long keyStalenessMilliseconds) {}
