package org.corianderweir.daemon.peer;

import org.corianderweir.logic.handshake.PeerIdentity;
import org.corianderweir.protocol.PeerMessage;

/**
 * A message and who sent it.
 *
 * @param sender the authenticated sender
 * @param message the message
 * @param <T> type of the message
 */
public record ReceivedMessage<T extends PeerMessage>(PeerIdentity sender, T message) {}
