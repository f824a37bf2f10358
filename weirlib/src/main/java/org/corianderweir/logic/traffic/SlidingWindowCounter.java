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

  /** Returns the number of events in the window that ends now. Changes nothing. */
  public long count(long nowNanoseconds) {
    long bucket = Math.floorDiv(nowNanoseconds, bucketNanoseconds);
    if (newestBucket == Long.MIN_VALUE || bucket - newestBucket >= counts.length) {
      return 0;
    }
    long oldest = Math.max(bucket, newestBucket) - counts.length + 1;
    long sum = 0;
    for (long counted = oldest; counted <= newestBucket; counted++) {
      sum += counts[index(counted)];
    }
    return sum;
  }

  /** Returns a copy that counts by itself. */
  SlidingWindowCounter copy() {
    SlidingWindowCounter copy =
        new SlidingWindowCounter(bucketNanoseconds * (counts.length - 1), counts.length - 1);
    System.arraycopy(counts, 0, copy.counts, 0, counts.length);
    copy.newestBucket = newestBucket;
    return copy;
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
