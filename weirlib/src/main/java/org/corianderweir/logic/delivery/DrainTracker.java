package org.corianderweir.logic.delivery;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.ToIntFunction;
import org.corianderweir.model.configuration.BackendServer;
import org.corianderweir.model.configuration.Configuration;

/**
 * Records when the draining of each backend server started and when its last request ended.
 * Thread-safe.
 */
public final class DrainTracker {
  private static final long NOT_DRAINED = -1;

  private final Map<String, Drain> drains = new ConcurrentHashMap<>();

  private record Drain(BackendServer server, long sinceMilliseconds, long drainedMilliseconds) {}

  /** Starts to track the servers that a configuration drains, and stops tracking all others. */
  public void update(Configuration configuration, long wallMilliseconds) {
    List<String> drained = new ArrayList<>();
    for (BackendServer server : configuration.backendServers()) {
      if (server.drained()) {
        drained.add(server.name());
        drains.putIfAbsent(server.name(), new Drain(server, wallMilliseconds, NOT_DRAINED));
      }
    }
    drains.keySet().retainAll(drained);
  }

  /**
   * Returns the state of each drain.
   *
   * @param inFlight returns the number of requests in flight from this entry instance to a server
   */
  public List<DrainState> states(ToIntFunction<BackendServer> inFlight, long wallMilliseconds) {
    List<DrainState> states = new ArrayList<>();
    for (Drain drain : drains.values()) {
      int running = inFlight.applyAsInt(drain.server());
      long ended = drain.drainedMilliseconds();
      if (running == 0 && ended == NOT_DRAINED) {
        ended = wallMilliseconds;
        drains.replace(
            drain.server().name(),
            drain,
            new Drain(drain.server(), drain.sinceMilliseconds(), ended));
      }
      long after = ended == NOT_DRAINED ? NOT_DRAINED : ended - drain.sinceMilliseconds();
      states.add(new DrainState(drain.server().name(), running, drain.sinceMilliseconds(), after));
    }
    return states;
  }
}
