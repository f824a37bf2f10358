package org.corianderweir.daemon.traffic;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.corianderweir.logic.delivery.ServerHealth;
import org.corianderweir.model.configuration.BackendServer;

/** The health of the backend servers that this entry instance has used. Thread-safe. */
final class HealthTable {
  private final Map<String, ServerHealth> healthByServer = new ConcurrentHashMap<>();

  /** Returns the health of a server; a server that was not used before begins with a slow start. */
  ServerHealth of(BackendServer server, long nowNanoseconds) {
    ServerHealth known = healthByServer.get(server.name());
    return known != null
        ? known
        : healthByServer.computeIfAbsent(server.name(), unused -> new ServerHealth(nowNanoseconds));
  }

  /** Returns the health of a server without noting that it is used now. */
  ServerHealth peek(BackendServer server, long nowNanoseconds) {
    ServerHealth known = healthByServer.get(server.name());
    return known != null ? known : new ServerHealth(nowNanoseconds);
  }

  /**
   * Removes all servers but the named ones. A removed server begins with a slow start when it gets
   * requests again.
   */
  void keepOnly(Set<String> serverNames) {
    healthByServer.keySet().retainAll(serverNames);
  }
}
