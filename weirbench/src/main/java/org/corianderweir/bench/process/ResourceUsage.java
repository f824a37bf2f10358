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

  /**
   * Returns the processor time that the running threads of a process with a name have used.
   *
   * @param name the name that the system shows, at most 15 characters
   */
  public static Duration processorTimeOfThreads(Process process, String name) {
    Path tasks = Path.of("/proc", Long.toString(process.pid()), "task");
    try (Stream<Path> threads = Files.list(tasks)) {
      long nanoseconds = 0;
      for (Path thread : threads.toList()) {
        if (Files.readString(thread.resolve("comm")).strip().equals(name)) {
          nanoseconds +=
              Long.parseLong(Files.readString(thread.resolve("schedstat")).split(" ", 2)[0]);
        }
      }
      return Duration.ofNanos(nanoseconds);
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
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
