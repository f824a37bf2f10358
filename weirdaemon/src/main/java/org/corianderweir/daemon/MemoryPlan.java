package org.corianderweir.daemon;

import org.corianderweir.http.BodyMemory;

/**
 * Divides the heap of the process between the bodies of requests and responses. Together they use
 * at most 60% of it; the rest is for the configuration, the servers and what each request needs
 * besides its body.
 *
 * @param requests memory of request bodies
 * @param responses memory of response bodies
 */
public record MemoryPlan(BodyMemory requests, BodyMemory responses) {
  private static final double SMALL_REQUESTS_RATIO = 0.085;
  private static final double LARGE_REQUESTS_RATIO = 0.285;
  private static final double SMALL_RESPONSES_RATIO = 0.05;
  private static final double LARGE_RESPONSES_RATIO = 0.18;

  /** Look-ups, readiness checks and requests for metrics need no body. */
  private static final double CONTROL_BODIES_RATIO = 0.005;

  private static final double CONTROL_UNFINISHED_RATIO = 0.005;

  /** Plans for a heap of a size, in bytes. */
  public static MemoryPlan forHeap(long heapBytes) {
    return new MemoryPlan(
        new BodyMemory(
            (long) (SMALL_REQUESTS_RATIO * heapBytes), (long) (LARGE_REQUESTS_RATIO * heapBytes)),
        new BodyMemory(
            (long) (SMALL_RESPONSES_RATIO * heapBytes),
            (long) (LARGE_RESPONSES_RATIO * heapBytes)));
  }

  /** Returns the memory of the request bodies of a listener for control. */
  public static BodyMemory controlBodies(long heapBytes) {
    long bytes = (long) (CONTROL_BODIES_RATIO / 2 * heapBytes);
    return new BodyMemory(bytes, bytes);
  }

  /** Returns the memory of the unfinished heads of a listener for control. */
  public static long controlUnfinishedBytes(long heapBytes) {
    return (long) (CONTROL_UNFINISHED_RATIO * heapBytes);
  }

  /** Returns the size of the largest request body for which there can be memory, in bytes. */
  public int requestLimitBytes() {
    return (int) Math.min(Integer.MAX_VALUE, requests.large().limitBytes());
  }
}
