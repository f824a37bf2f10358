package org.corianderweir.daemon.peer;

import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.corianderweir.protocol.HandshakeMessageCodec;
import org.glassfish.grizzly.Connection;

/** The sessions of all open connections between entry instances. Thread-safe. */
final class PeerSessions {
  /** Largest frame of an authenticated peer; large enough for a document of the configuration. */
  static final int FRAME_LIMIT_BYTES = 2 * 1024 * 1024;

  private static final int DEFAULT_HALF_OPEN_LIMIT = 512;

  private final Map<Connection<?>, PeerSession> sessions = new ConcurrentHashMap<>();
  private volatile int halfOpenLimit = DEFAULT_HALF_OPEN_LIMIT;

  void setHalfOpenLimit(int limit) {
    halfOpenLimit = limit;
  }

  /** Adds a session unless too many handshakes are in progress; returns whether it was added. */
  boolean add(PeerSession session) {
    if (halfOpenCount() >= halfOpenLimit) {
      return false;
    }
    sessions.put(session.connection(), session);
    return true;
  }

  void remove(Connection<?> connection) {
    sessions.remove(connection);
  }

  Optional<PeerSession> find(Connection<?> connection) {
    return Optional.ofNullable(sessions.get(connection));
  }

  int frameLimitBytes(Connection<?> connection) {
    boolean authenticated = find(connection).flatMap(PeerSession::peer).isPresent();
    return authenticated ? FRAME_LIMIT_BYTES : HandshakeMessageCodec.MESSAGE_LIMIT_BYTES;
  }

  /** Closes the connections whose handshake takes too long; returns their number. */
  int closeHalfOpen(long limitNanoseconds, long nowNanoseconds) {
    int closed = 0;
    Iterator<PeerSession> iterator = sessions.values().iterator();
    while (iterator.hasNext()) {
      PeerSession session = iterator.next();
      if (session.isHalfOpenLongerThan(limitNanoseconds, nowNanoseconds)) {
        iterator.remove();
        session.connection().closeSilently();
        closed++;
      }
    }
    return closed;
  }

  private long halfOpenCount() {
    return sessions.values().stream().filter(session -> session.peer().isEmpty()).count();
  }
}
