package org.corianderweir.daemon.peer;

import java.util.Optional;
import org.corianderweir.logic.handshake.PeerIdentity;
import org.corianderweir.model.WeirException;
import org.corianderweir.protocol.PeerMessage;
import org.corianderweir.protocol.PeerMessageCodec;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;

/**
 * Passes the frames of a connection to its handshake and, after authentication, to the listener. A
 * frame that can't be decoded closes its own connection and affects no other one.
 */
final class PeerFilter extends BaseFilter {
  /** Listener for accepted connections, messages of authenticated peers and refused connections. */
  interface Listener {
    void accepted(Connection<?> connection);

    void received(PeerIdentity sender, PeerMessage message);

    void refused(Connection<?> connection, String reason);
  }

  private final PeerSessions sessions;
  private final Listener listener;

  PeerFilter(PeerSessions sessions, Listener listener) {
    this.sessions = sessions;
    this.listener = listener;
  }

  @Override
  public NextAction handleAccept(FilterChainContext context) {
    listener.accepted(context.getConnection());
    return context.getInvokeAction();
  }

  @Override
  public NextAction handleRead(FilterChainContext context) {
    Connection<?> connection = context.getConnection();
    byte[] payload = context.getMessage();
    Optional<PeerSession> session = sessions.find(connection);
    if (session.isEmpty()) {
      connection.closeSilently();
      return context.getStopAction();
    }
    try {
      handleFrame(session.get(), payload);
    } catch (WeirException invalid) {
      refuse(connection, String.valueOf(invalid.getMessage()));
    }
    return context.getStopAction();
  }

  @Override
  public NextAction handleClose(FilterChainContext context) {
    sessions.remove(context.getConnection());
    return context.getInvokeAction();
  }

  @Override
  public void exceptionOccurred(FilterChainContext context, Throwable failure) {
    refuse(context.getConnection(), String.valueOf(failure.getMessage()));
  }

  private void handleFrame(PeerSession session, byte[] payload) {
    Optional<PeerIdentity> sender = session.peer();
    if (sender.isPresent()) {
      listener.received(sender.get(), PeerMessageCodec.decode(payload));
    } else {
      session.advance(payload).ifPresent(reason -> refuse(session.connection(), reason));
    }
  }

  /** Closes a connection and passes the reason to the listener. */
  void refuse(Connection<?> connection, String reason) {
    if (sessions.find(connection).isPresent()) {
      listener.refused(connection, reason);
      sessions.remove(connection);
    }
    connection.closeSilently();
  }
}
