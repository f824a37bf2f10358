package org.corianderweir.bench.clients;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.ToLongFunction;

/** Records the resources of an instance until it ends or the sampler is closed. */
public final class ResourceSampler implements AutoCloseable {
  private static final long INTERVAL_MILLISECONDS = 20;

  private final InstanceProcess instance;
  private final List<Sample> samples = new ArrayList<>();
  private final Thread thread;

  /**
   * The resources at one time.
   *
   * @param epochMilliseconds time of day
   * @param residentBytes resident memory of the process
   * @param descriptors open descriptors of the process
   */
  record Sample(long epochMilliseconds, long residentBytes, int descriptors) {}

  /** Begins to record. */
  public ResourceSampler(InstanceProcess instance) {
    this.instance = instance;
    thread = Thread.ofPlatform().daemon().start(this::record);
  }

  /** Returns the largest resident memory until now, in bytes. */
  public long largestResidentBytes() {
    return largest(Sample::residentBytes);
  }

  /** Returns the largest number of open descriptors until now. */
  public int largestDescriptorCount() {
    return (int) largest(Sample::descriptors);
  }

  /** Returns what was recorded until now. */
  synchronized List<Sample> samples() {
    return List.copyOf(samples);
  }

  @Override
  public void close() throws InterruptedException {
    thread.interrupt();
    thread.join();
  }

  private long largest(ToLongFunction<Sample> value) {
    return samples().stream().mapToLong(value).max().orElse(0);
  }

  private void record() {
    try {
      while (instance.isAlive()) {
        Sample sample =
            new Sample(
                System.currentTimeMillis(), instance.residentBytes(), instance.descriptorCount());
        synchronized (this) {
          samples.add(sample);
        }
        TimeUnit.MILLISECONDS.sleep(INTERVAL_MILLISECONDS);
      }
    } catch (InterruptedException ended) {
      Thread.currentThread().interrupt();
    }
  }
}
