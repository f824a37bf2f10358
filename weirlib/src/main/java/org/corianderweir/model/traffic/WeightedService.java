package org.corianderweir.model.traffic;

/**
 * A service that a route sends requests to.
 *
 * @param service name of the service
 * @param weight part of the requests, in proportion to the other weights of the route
 */
public record WeightedService(String service, double weight) {}
