package org.corianderweir.daemon.traffic;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.corianderweir.model.configuration.BackendServer;

/** Counts this entry instance's requests in flight at each backend server. Thread-safe. */
final class InFlightCounts {
  private final Map<String, AtomicInteger> counts = new ConcurrentHashMap<>();

  int inFlight(BackendServer server) {
    AtomicInteger count = counts.get(server.name());
    return count == null ? 0 : count.get();
  }

  void begin(BackendServer server) {
    counts.computeIfAbsent(server.name(), unused -> new AtomicInteger()).incrementAndGet();
  }

  void end(BackendServer server) {
    counts.computeIfAbsent(server.name(), unused -> new AtomicInteger()).decrementAndGet();
  }
}
