package org.corianderweir.model.traffic;

import java.time.Duration;

/**
 * Limits on the requests and connections of a caller.
 *
 * @param maximumHeaderBytes largest header of a request in bytes
 * @param maximumBodyBytes largest body of a request in bytes
 * @param headerTimeout longest time in which a caller must send the header of a request
 * @param idleTimeout time after which a connection without a request is closed
 */
public record CallerLimits(
    int maximumHeaderBytes, long maximumBodyBytes, Duration headerTimeout, Duration idleTimeout) {}
