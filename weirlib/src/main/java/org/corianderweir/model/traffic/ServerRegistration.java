package org.corianderweir.model.traffic;

import java.time.Duration;

/**
 * What a backend server says of itself.
 *
 * @param identifier identifier of this server
 * @param service service that it belongs to
 * @param host IP address
 * @param port TCP port
 * @param zone availability zone
 * @param slots requests that it runs at the same time
 * @param draining whether it takes no new requests because it is leaving
 * @param coldRemaining how much longer it is cold, counted from when it said so
 * @param startedMilliseconds wall time of its start
 */
public record ServerRegistration(
    String identifier,
    String service,
    String host,
    int port,
    String zone,
    int slots,
    boolean draining,
    Duration coldRemaining,
    long startedMilliseconds) {}
