package org.corianderweir.model.configuration;

import java.util.List;

/**
 * The path on which the shares of a selector move to its destinations. Every entry instance works
 * out the same shares from it and the wall time.
 *
 * @param startMilliseconds wall time at which the path starts, milliseconds since the epoch
 * @param paused whether the shares stay where the path starts
 * @param from shares at the start; they add up to 1
 * @param origin destinations of the selector before the shift, which a turn back restores
 */
public record Shift(
    long startMilliseconds, boolean paused, List<DestinationShare> from, List<Destination> origin) {
  /** Copies the lists. */
  public Shift {
    from = List.copyOf(from);
    origin = List.copyOf(origin);
  }
}
