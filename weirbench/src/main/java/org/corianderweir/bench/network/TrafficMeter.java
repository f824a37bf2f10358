package org.corianderweir.bench.network;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/** Counts the bytes sent in each direction, in buckets of a tenth of a second. Thread-safe. */
public final class TrafficMeter {
  /** Duration of a bucket. */
  public static final long BUCKET_NANOSECONDS = 100_000_000;

  private final Map<Bucket, LongAdder> counts = new ConcurrentHashMap<>();

  private record Bucket(NetworkConditions.Direction direction, long index) {}

  /**
   * The bytes sent in one direction in one bucket.
   *
   * @param direction direction of the bytes
   * @param beginNanoseconds monotonic time at which the bucket begins
   * @param bytes number of bytes
   */
  public record Sample(NetworkConditions.Direction direction, long beginNanoseconds, long bytes) {}

  /** Adds bytes that are sent at the given monotonic time. */
  void recordBytes(NetworkConditions.Direction direction, long bytes, long nowNanoseconds) {
    counts
        .computeIfAbsent(
            new Bucket(direction, nowNanoseconds / BUCKET_NANOSECONDS), unused -> new LongAdder())
        .add(bytes);
  }

  /** Returns a sample for each bucket that is not empty, in no particular order. */
  public List<Sample> samples() {
    List<Sample> samples = new ArrayList<>();
    counts.forEach(
        (bucket, bytes) ->
            samples.add(
                new Sample(bucket.direction(), bucket.index() * BUCKET_NANOSECONDS, bytes.sum())));
    return samples;
  }
}
