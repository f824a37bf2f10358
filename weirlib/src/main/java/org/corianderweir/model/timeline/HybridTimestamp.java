package org.corianderweir.model.timeline;

/**
 * A timestamp of a hybrid logical clock: later events that know of earlier ones always compare
 * greater, whatever the wall clocks say.
 *
 * @param wallMilliseconds largest wall time seen, in milliseconds since the epoch
 * @param counter orders events within the same millisecond
 */
public record HybridTimestamp(long wallMilliseconds, int counter)
    implements Comparable<HybridTimestamp> {
  /** Before every event. */
  public static final HybridTimestamp ZERO = new HybridTimestamp(0, 0);

  @Override
  public int compareTo(HybridTimestamp other) {
    int wallComparison = Long.compare(wallMilliseconds, other.wallMilliseconds);
    return wallComparison != 0 ? wallComparison : Integer.compare(counter, other.counter);
  }
}
