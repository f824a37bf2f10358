package org.corianderweir.bench.load;

import org.corianderweir.bench.deployment.Deployment;

/**
 * A request that a caller sends at a scheduled time, whatever the outcome of earlier requests (an
 * open-loop load).
 *
 * @param offsetNanoseconds time since the start of the load
 * @param organisation organisation of the caller; empty on an open route
 * @param route route that the request uses
 * @param zone name of the availability zone that is nearest to the caller
 * @param clientNumber index of the client among the zone's clients
 */
public record Arrival(
    long offsetNanoseconds,
    String organisation,
    Deployment.Route route,
    String zone,
    int clientNumber) {}
