package org.corianderweir.daemon.traffic;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.corianderweir.logic.delivery.ServerHealth;
import org.corianderweir.model.configuration.BackendServer;

/** What this entry instance has seen of each backend server that it used. Thread-safe. */
final class HealthTable {
  private final Map<String, ServerHealth> healthByServer = new ConcurrentHashMap<>();

  /** Returns what was seen of a server; one that was never used begins with slow start. */
  ServerHealth of(BackendServer server, long nowNanoseconds) {
    ServerHealth known = healthByServer.get(server.name());
    return known != null
        ? known
        : healthByServer.computeIfAbsent(server.name(), unused -> new ServerHealth(nowNanoseconds));
  }

  /** Forgets the servers that get no requests, so that they begin slowly when they come back. */
  void keepOnly(Set<String> serverNames) {
    healthByServer.keySet().retainAll(serverNames);
  }
}
