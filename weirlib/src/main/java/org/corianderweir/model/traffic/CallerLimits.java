package org.corianderweir.model.traffic;

import java.time.Duration;

/**
 * Bounds on what one caller may send.
 *
 * @param maximumHeaderBytes largest header of a request
 * @param maximumBodyBytes largest body of a request
 * @param headerTimeout longest time to send a header
 * @param idleTimeout how long a connection may stay without a request
 */
public record CallerLimits(
    int maximumHeaderBytes, long maximumBodyBytes, Duration headerTimeout, Duration idleTimeout) {}
