package org.corianderweir.model.configuration;

/**
 * An accepted change of the configuration, as it is shown to operators.
 *
 * @param revision revision that the change made
 * @param operation identifier of the change
 * @param summary summary of the changed items
 * @param wallMilliseconds wall time at the instance that accepted it, in milliseconds since the
 *     epoch
 */
public record AcceptedChange(
    long revision, String operation, String summary, long wallMilliseconds) {}
