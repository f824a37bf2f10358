package org.corianderweir.logic.admission;

/**
 * Requests whose work is measured together.
 *
 * @param route name of the route
 * @param region region of the server
 * @param firstCandidate whether the server is the first candidate of the object, which it has
 *     probably handled recently
 */
public record WorkKind(String route, String region, boolean firstCandidate) {}
