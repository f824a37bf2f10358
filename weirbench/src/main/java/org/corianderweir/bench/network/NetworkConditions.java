package org.corianderweir.bench.network;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** The simulated delays and blocks of the network between availability zones. Thread-safe. */
public final class NetworkConditions {
  private final Map<Direction, LinkState> states = new ConcurrentHashMap<>();
  private final TrafficMeter meter = new TrafficMeter();

  /**
   * A direction of traffic between two availability zones.
   *
   * @param from name of the zone that sends
   * @param to name of the zone that receives
   */
  public record Direction(String from, String to) {}

  /**
   * The state of the link in one direction.
   *
   * @param delayNanoseconds one-way delay of the bytes
   * @param blocked whether bytes are held back until the link is unblocked
   */
  public record LinkState(long delayNanoseconds, boolean blocked) {
    /** A link without delay that is not blocked. */
    public static final LinkState CLEAR = new LinkState(0, false);
  }

  /** Sets the one-way delay of a direction; whether it is blocked stays the same. */
  public void setDelay(Direction direction, long nanoseconds) {
    states.merge(
        direction,
        new LinkState(nanoseconds, false),
        (old, changed) -> new LinkState(nanoseconds, old.blocked()));
  }

  /** Blocks or unblocks a direction; its delay stays the same. */
  public void setBlocked(Direction direction, boolean blocked) {
    states.merge(
        direction,
        new LinkState(0, blocked),
        (old, changed) -> new LinkState(old.delayNanoseconds(), blocked));
  }

  /** Blocks or unblocks both directions between two zones. */
  public void setPartitioned(String oneZone, String otherZone, boolean partitioned) {
    setBlocked(new Direction(oneZone, otherZone), partitioned);
    setBlocked(new Direction(otherZone, oneZone), partitioned);
  }

  /** Returns the meter of the bytes that are sent in each direction. */
  public TrafficMeter meter() {
    return meter;
  }

  /** Returns the state of the link in a direction. */
  public LinkState state(Direction direction) {
    return states.getOrDefault(direction, LinkState.CLEAR);
  }
}
