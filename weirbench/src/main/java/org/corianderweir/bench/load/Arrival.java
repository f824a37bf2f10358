package org.corianderweir.bench.load;

import org.corianderweir.bench.deployment.Deployment;

/**
 * A request that a caller makes at a set time, whatever became of the ones before.
 *
 * @param offsetNanoseconds time since the start of the load
 * @param organisation organisation of the caller; empty on an open route
 * @param route route
 * @param zone name of the availability zone that is nearest to the caller
 * @param clientNumber which of the zone's clients it is
 */
public record Arrival(
    long offsetNanoseconds,
    String organisation,
    Deployment.Route route,
    String zone,
    int clientNumber) {}
