package org.corianderweir.model.traffic;

/**
 * A service of a route with its weight.
 *
 * @param service name of the service
 * @param weight share of the requests, relative to the sum of the weights of the route
 */
public record WeightedService(String service, double weight) {}
