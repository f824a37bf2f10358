package org.corianderweir.logic.limits;

/**
 * A message to be sent.
 *
 * @param target name of the entry instance that gets it
 * @param message the message
 * @param <M> type of the message
 */
public record AddressedMessage<M>(String target, M message) {}
