package org.corianderweir.daemon;

import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.corianderweir.daemon.settings.UnfinishedLimitSettings;
import org.corianderweir.http.BodyMemory;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Holds the arithmetic of docs/decisions/0071-uncontrolled-clients.md together with
 * deploy/system.toml: what callers can occupy at most fits into the smallest machine.
 */
public class UncontrolledClientsPlanTest {
  private static final long MEBIBYTE = 1024 * 1024;
  private static final long MACHINE_BYTES = 282 * MEBIBYTE;

  /** The daemon without callers: classes, threads, compiled code and the collector's tables. */
  private static final long OUTSIDE_HEAP_BYTES = 75 * MEBIBYTE;

  /** The objects of a daemon without callers. */
  private static final long IDLE_HEAP_BYTES = 9 * MEBIBYTE;

  /** The objects of a connection with a request in progress that has a usual head. */
  private static final long CONNECTION_BYTES = 6 * 1024;

  /** The objects of a connection to a server whose response waits for memory, and what was read. */
  private static final long WAITING_RESPONSE_BYTES = 12 * 1024;

  private static final int SMALLEST_DESCRIPTORS = 2_069;
  private static final int CONTROL_LISTENERS = 3;

  @DataProvider
  public Object[][] descriptorLimits() {
    return new Object[][] {{SMALLEST_DESCRIPTORS}, {2_870}};
  }

  @Test(dataProvider = "descriptorLimits")
  public void largestCrowdFitsIntoTheHeap(int descriptors) throws IOException {
    long heapBytes = heapBytes();
    long total = crowdBytes(heapBytes, descriptors);
    assertTrue(total <= heapBytes, total / MEBIBYTE + " MiB of " + heapBytes / MEBIBYTE);
  }

  /** Responses that waited for memory were in no budget, and not in the arithmetic. */
  @Test
  public void waitingResponsesFitBesideTheLargestCrowd() throws IOException {
    long heapBytes = heapBytes();
    int servers = SMALLEST_DESCRIPTORS - sum(DescriptorPlan.forLimit(SMALLEST_DESCRIPTORS));
    long total = crowdBytes(heapBytes, SMALLEST_DESCRIPTORS) + servers * WAITING_RESPONSE_BYTES;
    assertTrue(total <= heapBytes, total / MEBIBYTE + " MiB of " + heapBytes / MEBIBYTE);
  }

  private static long crowdBytes(long heapBytes, int descriptors) {
    MemoryPlan plan = MemoryPlan.forHeap(heapBytes);
    DescriptorPlan ports = DescriptorPlan.forLimit(descriptors);
    long bodies = bytes(plan.requests()) + bytes(plan.responses());
    long control =
        CONTROL_LISTENERS
            * (bytes(MemoryPlan.controlBodies(heapBytes))
                + MemoryPlan.controlUnfinishedBytes(heapBytes));
    long heads = (long) (UnfinishedLimitSettings.DEFAULT.memoryRatio() * heapBytes);
    long connections = CONNECTION_BYTES * sum(ports);
    return IDLE_HEAP_BYTES + bodies + control + heads + connections;
  }

  @Test
  public void processFitsIntoTheSmallestMachine() throws IOException {
    // The buffers outside the heap are at most as large as the heap.
    assertTrue(2 * heapBytes() + OUTSIDE_HEAP_BYTES <= MACHINE_BYTES, "" + heapBytes());
  }

  /** Readiness and look-ups each had half of the descriptors, and metrics 4,096. */
  @Test(dataProvider = "descriptorLimits")
  public void portsLeaveDescriptorsForServers(int descriptors) {
    assertTrue(sum(DescriptorPlan.forLimit(descriptors)) <= 0.7 * descriptors, "" + descriptors);
  }

  private static int sum(DescriptorPlan plan) {
    return plan.requests() + plan.lookups() + plan.readiness() + plan.metrics() + plan.handshakes();
  }

  private static long bytes(BodyMemory memory) {
    return memory.small().limitBytes() + memory.large().limitBytes();
  }

  private static long heapBytes() throws IOException {
    String deployFile = Files.readString(Path.of("../deploy/system.toml"));
    Matcher heap = Pattern.compile("-Xmx(\\d+)m").matcher(deployFile);
    assertTrue(heap.find(), deployFile);
    return Long.parseLong(heap.group(1)) * MEBIBYTE;
  }
}
