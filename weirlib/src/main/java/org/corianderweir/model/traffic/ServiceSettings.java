package org.corianderweir.model.traffic;

import java.time.Duration;

/**
 * The settings of a service.
 *
 * @param name unique name
 * @param healthPath path of the health check of a server
 * @param connectionLimit maximum number of connections that a server accepts from all callers
 *     together
 * @param coldStart time for which a server is cold after its start
 * @param coldRequestsPerSecond requests per second that a cold server accepts from the whole fleet
 */
public record ServiceSettings(
    String name,
    String healthPath,
    int connectionLimit,
    Duration coldStart,
    double coldRequestsPerSecond) {}
