package org.corianderweir.logic.delivery;

/**
 * The progress of draining a backend server, as seen by one entry instance.
 *
 * @param server name of the server
 * @param requestsInFlight requests of this entry instance that the server is still running
 * @param sinceMilliseconds wall time at which this entry instance stopped sending requests to the
 *     server
 * @param drainedAfterMilliseconds time from the start of the drain until no request from this entry
 *     instance was running any more; -1 while requests are running
 */
public record DrainState(
    String server, int requestsInFlight, long sinceMilliseconds, long drainedAfterMilliseconds) {}
