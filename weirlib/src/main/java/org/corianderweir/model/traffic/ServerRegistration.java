package org.corianderweir.model.traffic;

import java.time.Duration;

/**
 * The registration that a backend server writes to the metadata store.
 *
 * @param identifier identifier of the server
 * @param service name of the service that the server belongs to
 * @param host IP address
 * @param port TCP port
 * @param zone availability zone
 * @param slots number of requests that the server runs at the same time
 * @param draining whether the server accepts no new requests because it is shutting down
 * @param coldRemaining remaining time for which the server is cold, from the time of registration
 * @param startedMilliseconds wall-clock time of its start, in milliseconds since the epoch
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
