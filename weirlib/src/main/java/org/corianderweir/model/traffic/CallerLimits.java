package org.corianderweir.model.traffic;

import java.time.Duration;

/**
 * Bounds on what one caller may send.
 *
 * @param headerBytes largest header of a request
 * @param bodyBytes largest body of a request
 * @param headerTimeout longest time to send a header
 * @param idleTimeout how long a connection may stay without a request
 */
public record CallerLimits(
    int headerBytes, long bodyBytes, Duration headerTimeout, Duration idleTimeout) {}
