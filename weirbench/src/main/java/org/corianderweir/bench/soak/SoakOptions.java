package org.corianderweir.bench.soak;

import java.time.Duration;

/**
 * The size and the seed of a soak.
 *
 * @param seed seed of the faults and the load
 * @param faultDuration time in which faults begin
 * @param calmDuration time without new faults at the end, in which requests must be served again
 * @param instanceCount number of entry instances, one process each
 * @param serverCount number of backend servers
 * @param callerCount number of callers
 * @param firstPort first TCP port that is used
 * @param storeLinkFaults whether links to the store are cut, in addition to the other faults
 * @param serverNotices whether servers say that they leave and ask for pauses, in addition
 * @param singleRequests whether callers send only small requests, one at a time
 */
public record SoakOptions(
    long seed,
    Duration faultDuration,
    Duration calmDuration,
    int instanceCount,
    int serverCount,
    int callerCount,
    int firstPort,
    boolean storeLinkFaults,
    boolean serverNotices,
    boolean singleRequests) {
  /** Returns a builder with the sizes of a short run. */
  public static Builder builder(long seed) {
    return new Builder(seed);
  }

  /** Builds options. */
  public static final class Builder {
    private final long seed;
    private Duration faultDuration = Duration.ofSeconds(15);
    private Duration calmDuration = Duration.ofSeconds(12);
    private int instanceCount = 4;
    private int serverCount = 6;
    private int callerCount = 12;
    private int firstPort = 21_000;
    private boolean storeLinkFaults;
    private boolean serverNotices;
    private boolean singleRequests;

    private Builder(long seed) {
      this.seed = seed;
    }

    /** Sets the time in which faults begin. */
    public Builder faultDuration(Duration duration) {
      faultDuration = duration;
      return this;
    }

    /** Sets the time without new faults at the end. */
    public Builder calmDuration(Duration duration) {
      calmDuration = duration;
      return this;
    }

    /** Sets the numbers of entry instances, backend servers and callers. */
    public Builder sizes(int instances, int servers, int callers) {
      instanceCount = instances;
      serverCount = servers;
      callerCount = callers;
      return this;
    }

    /** Sets the first TCP port that is used. */
    public Builder firstPort(int port) {
      firstPort = port;
      return this;
    }

    /** Sets whether links to the store are cut. */
    public Builder storeLinkFaults(boolean enabled) {
      storeLinkFaults = enabled;
      return this;
    }

    /** Sets whether servers say that they leave and ask for pauses. */
    public Builder serverNotices(boolean enabled) {
      serverNotices = enabled;
      return this;
    }

    /** Sets whether callers send only small requests, one at a time. */
    public Builder singleRequests(boolean enabled) {
      singleRequests = enabled;
      return this;
    }

    /** Returns the options. */
    public SoakOptions build() {
      return new SoakOptions(
          seed,
          faultDuration,
          calmDuration,
          instanceCount,
          serverCount,
          callerCount,
          firstPort,
          storeLinkFaults,
          serverNotices,
          singleRequests);
    }
  }
}
