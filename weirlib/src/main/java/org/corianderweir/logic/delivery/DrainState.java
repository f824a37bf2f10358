package org.corianderweir.logic.delivery;

/**
 * A backend server that is leaving, as one entry instance sees it.
 *
 * @param server name of the server
 * @param requestsInFlight requests of this entry instance that it still runs
 * @param sinceMilliseconds wall time at which this entry instance stopped to send it requests
 * @param drainedAfterMilliseconds how long its last request from here took to end; -1 while some
 *     run
 */
public record DrainState(
    String server, int requestsInFlight, long sinceMilliseconds, long drainedAfterMilliseconds) {}
