package org.corianderweir.bench.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.stream.Stream;

/**
 * The total resource usage of several processes.
 *
 * @param processorTime processor time used since the processes started
 * @param residentBytes resident memory at present
 */
public record ResourceUsage(Duration processorTime, long residentBytes) {
  private static final String RESIDENT_MEMORY_PREFIX = "VmRSS:";
  private static final long BYTES_PER_KILOBYTE = 1024;

  /** Measures the usage of running processes. */
  public static ResourceUsage of(List<Process> processes) {
    Duration processorTime = Duration.ZERO;
    long residentBytes = 0;
    for (Process process : processes) {
      processorTime = processorTime.plus(process.info().totalCpuDuration().orElse(Duration.ZERO));
      residentBytes += residentBytes(process.pid());
    }
    return new ResourceUsage(processorTime, residentBytes);
  }

  private static long residentBytes(long processIdentifier) {
    try (Stream<String> lines =
        Files.lines(Path.of("/proc", Long.toString(processIdentifier), "status"))) {
      return lines
          .filter(line -> line.startsWith(RESIDENT_MEMORY_PREFIX))
          .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")) * BYTES_PER_KILOBYTE)
          .sum();
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }
}
