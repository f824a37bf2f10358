package org.corianderweir.daemon.traffic;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.corianderweir.logic.steering.ServerChooser;
import org.corianderweir.model.configuration.BackendServer;

/** Counts the requests that this instance has in flight at each backend server. Thread-safe. */
final class InFlightCounts implements ServerChooser.LoadView {
  private final Map<String, AtomicInteger> counts = new ConcurrentHashMap<>();
  private final AtomicInteger total = new AtomicInteger();

  @Override
  public int inFlight(BackendServer server) {
    AtomicInteger count = counts.get(server.name());
    return count == null ? 0 : count.get();
  }

  void begin(BackendServer server) {
    counts.computeIfAbsent(server.name(), unused -> new AtomicInteger()).incrementAndGet();
    total.incrementAndGet();
  }

  void end(BackendServer server) {
    counts.computeIfAbsent(server.name(), unused -> new AtomicInteger()).decrementAndGet();
    total.decrementAndGet();
  }

  int total() {
    return total.get();
  }
}
