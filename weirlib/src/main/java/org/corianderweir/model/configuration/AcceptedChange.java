package org.corianderweir.model.configuration;

/**
 * A change of the configuration, for operators.
 *
 * @param revision revision that it made
 * @param operation identifier of the change
 * @param summary what it changed
 * @param wallMilliseconds wall time of the instance that made it, milliseconds since the epoch
 */
public record AcceptedChange(
    long revision, String operation, String summary, long wallMilliseconds) {}
