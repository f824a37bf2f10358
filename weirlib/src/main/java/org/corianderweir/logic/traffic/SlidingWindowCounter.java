package org.corianderweir.logic.traffic;

import java.util.Arrays;

/**
 * Counts events over a sliding window in buckets. The count covers at least the window and at most
 * one bucket more. Not thread-safe.
 */
public final class SlidingWindowCounter {
  private final long bucketNanoseconds;
  private final long[] counts;
  private long newestBucket = Long.MIN_VALUE;

  /**
   * Creates an empty counter.
   *
   * @param windowNanoseconds length of the window in nanoseconds
   * @param buckets number of buckets in the window
   */
  public SlidingWindowCounter(long windowNanoseconds, int buckets) {
    bucketNanoseconds = Math.max(1, windowNanoseconds / buckets);
    counts = new long[buckets + 1];
  }

  /** Counts one event. */
  public void add(long nowNanoseconds) {
    advance(nowNanoseconds);
    counts[index(newestBucket)]++;
  }

  /** Returns the number of events in the window that ends now. */
  public long count(long nowNanoseconds) {
    advance(nowNanoseconds);
    return Arrays.stream(counts).sum();
  }

  private void advance(long nowNanoseconds) {
    long bucket = Math.floorDiv(nowNanoseconds, bucketNanoseconds);
    if (newestBucket == Long.MIN_VALUE || bucket - newestBucket >= counts.length) {
      Arrays.fill(counts, 0);
      newestBucket = bucket;
      return;
    }
    while (newestBucket < bucket) {
      newestBucket++;
      counts[index(newestBucket)] = 0;
    }
  }

  private int index(long bucket) {
    return (int) Math.floorMod(bucket, counts.length);
  }
}
