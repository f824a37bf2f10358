package org.corianderweir.model.timeline;

/**
 * A timestamp of a hybrid logical clock. An event that causally follows another one always has the
 * greater timestamp, even if the wall clocks of the processes differ.
 *
 * @param wallMilliseconds largest wall time seen, in milliseconds since the epoch
 * @param counter counter that orders events with the same wall time
 */
public record HybridTimestamp(long wallMilliseconds, int counter)
    implements Comparable<HybridTimestamp> {
  /** The timestamp before all events. */
  public static final HybridTimestamp ZERO = new HybridTimestamp(0, 0);

  @Override
  public int compareTo(HybridTimestamp other) {
    int wallComparison = Long.compare(wallMilliseconds, other.wallMilliseconds);
    return wallComparison != 0 ? wallComparison : Integer.compare(counter, other.counter);
  }
}
