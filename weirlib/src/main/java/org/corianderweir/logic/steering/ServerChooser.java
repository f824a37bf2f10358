package org.corianderweir.logic.steering;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.corianderweir.model.configuration.BackendServer;

/**
 * Chooses a backend server by the power of two choices (Mitzenmacher, "The Power of Two Choices in
 * Randomized Load Balancing", 2001) on the requests that are in flight.
 */
public final class ServerChooser {
  private ServerChooser() {}

  /** What the chooser knows of a server's load. */
  public interface LoadView {
    /** Returns the number of requests in flight at a server. */
    int inFlight(BackendServer server);
  }

  /** Chooses one of the candidates, or none if all their slots are taken. */
  public static Optional<BackendServer> choose(
      List<BackendServer> candidates, LoadView loads, RandomGenerator random) {
    List<BackendServer> free =
        candidates.stream().filter(server -> loads.inFlight(server) < server.slots()).toList();
    if (free.isEmpty()) {
      return Optional.empty();
    }
    BackendServer first = free.get(random.nextInt(free.size()));
    BackendServer second = free.get(random.nextInt(free.size()));
    boolean firstIsLighter = relativeLoad(first, loads) <= relativeLoad(second, loads);
    return Optional.of(firstIsLighter ? first : second);
  }

  private static double relativeLoad(BackendServer server, LoadView loads) {
    return (double) loads.inFlight(server) / server.slots();
  }
}
