package org.corianderweir.logic.traffic;

import java.time.Duration;

/**
 * Limits that apply to the sum over all entry instances.
 *
 * @param retryRatio retries for a service, as a ratio of the requests for it
 * @param retryMargin additional retries for a service in each window
 * @param retryWindow length of the window of the retry budget
 * @param rateOverage ratio by which an organisation may exceed its rate limit
 * @param rateMargin additional requests by which an organisation may exceed its rate limit in each
 *     window
 * @param rateWindow length of the window of the rate limits
 */
public record FleetBounds(
    double retryRatio,
    double retryMargin,
    Duration retryWindow,
    double rateOverage,
    double rateMargin,
    Duration rateWindow) {}
