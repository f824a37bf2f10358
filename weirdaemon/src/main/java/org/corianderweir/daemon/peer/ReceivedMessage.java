package org.corianderweir.daemon.peer;

import org.corianderweir.logic.handshake.PeerIdentity;
import org.corianderweir.protocol.PeerMessage;

/**
 * A message with its sender.
 *
 * @param sender identity that the sender proved in the handshake
 * @param message the message
 * @param <T> type of the message
 */
public record ReceivedMessage<T extends PeerMessage>(PeerIdentity sender, T message) {}
