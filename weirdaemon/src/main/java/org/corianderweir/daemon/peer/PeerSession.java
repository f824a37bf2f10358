package org.corianderweir.daemon.peer;

import java.util.Optional;
import java.util.function.Function;
import org.corianderweir.logic.handshake.HandshakeMessage;
import org.corianderweir.logic.handshake.HandshakeStep;
import org.corianderweir.logic.handshake.PeerIdentity;
import org.corianderweir.protocol.HandshakeMessageCodec;
import org.glassfish.grizzly.Connection;
import org.jspecify.annotations.Nullable;

/**
 * The state of one connection: a handshake in progress, then the peer that it authenticated. The
 * frames of a connection are handled one after another.
 */
final class PeerSession {
  private final Connection<?> connection;
  private final Function<HandshakeMessage, HandshakeStep> handshake;
  private final Runnable onAuthenticated;
  private final long openedNanoseconds;
  private volatile @Nullable PeerIdentity peer;

  PeerSession(
      Connection<?> connection,
      Function<HandshakeMessage, HandshakeStep> handshake,
      Runnable onAuthenticated,
      long openedNanoseconds) {
    this.connection = connection;
    this.handshake = handshake;
    this.onAuthenticated = onAuthenticated;
    this.openedNanoseconds = openedNanoseconds;
  }

  Optional<PeerIdentity> peer() {
    return Optional.ofNullable(peer);
  }

  Connection<?> connection() {
    return connection;
  }

  /** Returns whether the handshake is still in progress after the given time. */
  boolean isHalfOpenLongerThan(long limitNanoseconds, long nowNanoseconds) {
    return peer == null && nowNanoseconds - openedNanoseconds > limitNanoseconds;
  }

  /**
   * Handles a handshake message. Returns the reason if the handshake is refused and the connection
   * must be closed.
   */
  Optional<String> advance(byte[] payload) {
    return switch (handshake.apply(HandshakeMessageCodec.decode(payload))) {
      case HandshakeStep.Continue next -> {
        send(next.reply());
        yield Optional.empty();
      }
      case HandshakeStep.Authenticated authenticated -> {
        authenticated.reply().ifPresent(this::send);
        peer = authenticated.peer();
        onAuthenticated.run();
        yield Optional.empty();
      }
      case HandshakeStep.Refused refused -> Optional.of(refused.reason());
    };
  }

  @SuppressWarnings({"rawtypes", "unchecked"})
  void send(HandshakeMessage message) {
    ((Connection) connection).write(HandshakeMessageCodec.encode(message));
  }
}
