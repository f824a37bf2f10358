package org.corianderweir.logic.limits;

/**
 * A message and the entry instance to send it to.
 *
 * @param target name of the receiving entry instance
 * @param message the message
 * @param <M> type of the message
 */
public record AddressedMessage<M>(String target, M message) {}
