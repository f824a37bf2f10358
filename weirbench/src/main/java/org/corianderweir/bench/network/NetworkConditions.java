package org.corianderweir.bench.network;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** The state of the network between availability zones. Thread-safe. */
public final class NetworkConditions {
  private final Map<Direction, LinkState> states = new ConcurrentHashMap<>();
  private final TrafficMeter meter = new TrafficMeter();

  /**
   * A way that bytes go.
   *
   * @param from name of the availability zone where they start
   * @param to name of the availability zone where they end
   */
  public record Direction(String from, String to) {}

  /**
   * What happens to bytes on the way.
   *
   * @param delayNanoseconds time on the way
   * @param blocked whether bytes are held until the link works again
   */
  public record LinkState(long delayNanoseconds, boolean blocked) {
    /** No delay, nothing held. */
    public static final LinkState CLEAR = new LinkState(0, false);
  }

  /** Sets the delay of one direction. */
  public void setDelay(Direction direction, long nanoseconds) {
    states.merge(
        direction,
        new LinkState(nanoseconds, false),
        (old, changed) -> new LinkState(nanoseconds, old.blocked()));
  }

  /** Holds the bytes of one direction, or lets them go again. */
  public void setBlocked(Direction direction, boolean blocked) {
    states.merge(
        direction,
        new LinkState(0, blocked),
        (old, changed) -> new LinkState(old.delayNanoseconds(), blocked));
  }

  /** Holds or frees the bytes of both directions. */
  public void setPartitioned(String oneZone, String otherZone, boolean partitioned) {
    setBlocked(new Direction(oneZone, otherZone), partitioned);
    setBlocked(new Direction(otherZone, oneZone), partitioned);
  }

  /** Returns the count of the bytes that went each way. */
  public TrafficMeter meter() {
    return meter;
  }

  /** Returns the state of a direction. */
  public LinkState state(Direction direction) {
    return states.getOrDefault(direction, LinkState.CLEAR);
  }
}
