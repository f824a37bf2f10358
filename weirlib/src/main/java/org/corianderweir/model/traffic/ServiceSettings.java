package org.corianderweir.model.traffic;

import java.time.Duration;

/**
 * What the operators say of a service.
 *
 * @param name unique name
 * @param healthPath path that answers with the health of a server
 * @param connectionLimit connections that a server takes from all callers together
 * @param coldStart how long a server stays cold after its start
 * @param coldRequestsPerSecond requests a second that a cold server takes, from the whole fleet
 */
public record ServiceSettings(
    String name,
    String healthPath,
    int connectionLimit,
    Duration coldStart,
    double coldRequestsPerSecond) {}
