package org.corianderweir.model.configuration;

import java.util.List;

/**
 * The gradual change of a selector's shares to those of its destinations. Every entry instance
 * computes the same shares from the shift and the wall time.
 *
 * @param startMilliseconds wall time at which the shift starts, in milliseconds since the epoch
 * @param paused whether the shift is paused, so that the shares stay as in {@code from}
 * @param from shares at the start, with a sum of 1
 * @param origin destinations of the selector before the shift, to which it can be turned back
 */
public record Shift(
    long startMilliseconds, boolean paused, List<DestinationShare> from, List<Destination> origin) {
  /** Copies the lists. */
  public Shift {
    from = List.copyOf(from);
    origin = List.copyOf(origin);
  }
}
