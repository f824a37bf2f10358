package org.corianderweir.logic.traffic;

import java.util.OptionalInt;
import java.util.OptionalLong;
import org.jspecify.annotations.Nullable;

/**
 * The load that a server reports with a response. Each figure counts by itself.
 *
 * @param running number of requests that the server runs, without the answered one
 * @param waiting number of requests that wait at the server
 * @param slots number of requests that the server runs at the same time
 * @param speedPercent how long work takes on the server now: 100 is the usual time, 250 is 2.5
 *     times as long
 */
public record ServerLoad(
    OptionalInt running, OptionalInt waiting, OptionalInt slots, OptionalInt speedPercent) {
  /** A report without any figure. */
  public static final ServerLoad NONE =
      new ServerLoad(
          OptionalInt.empty(), OptionalInt.empty(), OptionalInt.empty(), OptionalInt.empty());

  /** The same limit as for the slots of a registration. */
  private static final int LARGEST_COUNT = 1_000_000;

  /** No machine that still answers within a deadline is a hundred times slower than usual. */
  private static final int LARGEST_SPEED_PERCENT = 10_000;

  /** Refuses figures out of range. */
  public ServerLoad {
    requireInRange(running, 0, LARGEST_COUNT);
    requireInRange(waiting, 0, LARGEST_COUNT);
    requireInRange(slots, 1, LARGEST_COUNT);
    requireInRange(speedPercent, 1, LARGEST_SPEED_PERCENT);
  }

  /** Creates a report from figures as they were read. Those out of range are left out. */
  public static ServerLoad of(
      OptionalLong running, OptionalLong waiting, OptionalLong slots, OptionalLong speedPercent) {
    return new ServerLoad(
        inRange(running, 0, LARGEST_COUNT),
        inRange(waiting, 0, LARGEST_COUNT),
        inRange(slots, 1, LARGEST_COUNT),
        inRange(speedPercent, 1, LARGEST_SPEED_PERCENT));
  }

  /** Returns the number of running and waiting requests; empty if one of them is not known. */
  public OptionalInt requests() {
    return running.isPresent() && waiting.isPresent()
        ? OptionalInt.of(running.getAsInt() + waiting.getAsInt())
        : OptionalInt.empty();
  }

  // Written out: the generated method is linked by method handles at its first call, during the
  // start of the process, and no class archive holds them.
  @Override
  public boolean equals(@Nullable Object other) {
    return other instanceof ServerLoad that
        && running.equals(that.running)
        && waiting.equals(that.waiting)
        && slots.equals(that.slots)
        && speedPercent.equals(that.speedPercent);
  }

  @Override
  public int hashCode() {
    return ((running.hashCode() * 31 + waiting.hashCode()) * 31 + slots.hashCode()) * 31
        + speedPercent.hashCode();
  }

  private static void requireInRange(OptionalInt figure, int smallest, int largest) {
    if (figure.isPresent() && (figure.getAsInt() < smallest || figure.getAsInt() > largest)) {
      throw new IllegalArgumentException("figure of a load out of range");
    }
  }

  private static OptionalInt inRange(OptionalLong figure, long smallest, long largest) {
    return figure.isPresent() && figure.getAsLong() >= smallest && figure.getAsLong() <= largest
        ? OptionalInt.of((int) figure.getAsLong())
        : OptionalInt.empty();
  }
}
