package org.corianderweir.bench.report;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.corianderweir.bench.observer.Evidence;

/** Computes the charts of a run, with one value for each second. */
final class TimeSeries {
  private static final long NANOSECONDS_PER_SECOND = 1_000_000_000L;

  private TimeSeries() {}

  /**
   * A line of a chart.
   *
   * @param name name in the legend
   * @param seconds times since the start of the measurement
   * @param values value at each time
   */
  record Line(String name, List<Double> seconds, List<Double> values) {}

  /** Returns the median and the 99th percentile of the latency, in milliseconds. */
  static List<Line> latency(List<RequestHistory> requests, long startNanoseconds) {
    Map<Long, List<Long>> seconds = new TreeMap<>();
    for (RequestHistory request : requests) {
      if (request.answered()) {
        add(seconds, secondOf(request, startNanoseconds), request.latencyNanoseconds());
      }
    }
    return percentiles(seconds);
  }

  /** Returns the median and the 99th percentile of the wait for the backend server. */
  static List<Line> waiting(
      Evidence evidence, List<RequestHistory> requests, long startNanoseconds) {
    Map<String, Long> arrived = new HashMap<>();
    evidence.runs().forEach(run -> arrived.merge(run.request(), run.beginNanoseconds(), Math::min));
    Map<Long, List<Long>> seconds = new TreeMap<>();
    for (RequestHistory request : requests) {
      Long arrivedNanoseconds = arrived.get(request.first().identifier());
      if (arrivedNanoseconds != null) {
        add(
            seconds,
            secondOf(request, startNanoseconds),
            arrivedNanoseconds - request.first().startNanoseconds());
      }
    }
    return percentiles(seconds);
  }

  /** Returns the answered requests per second, and the failed ones for each reason. */
  static List<Line> outcomes(List<RequestHistory> requests, long startNanoseconds) {
    Map<String, Map<Long, Long>> counts = new TreeMap<>();
    long last = 0;
    for (RequestHistory request : requests) {
      String name = request.answered() ? "answered" : request.failure();
      long second = secondOf(request, startNanoseconds);
      last = Math.max(last, second);
      counts.computeIfAbsent(name, unused -> new TreeMap<>()).merge(second, 1L, Long::sum);
    }
    List<Line> lines = new ArrayList<>();
    for (Map.Entry<String, Map<Long, Long>> entry : counts.entrySet()) {
      List<Double> seconds = new ArrayList<>();
      List<Double> values = new ArrayList<>();
      for (long second = 0; second <= last; second++) {
        seconds.add((double) second);
        values.add((double) entry.getValue().getOrDefault(second, 0L));
      }
      lines.add(new Line(entry.getKey(), seconds, values));
    }
    return lines;
  }

  private static List<Line> percentiles(Map<Long, List<Long>> seconds) {
    List<Double> times = new ArrayList<>();
    List<Double> medians = new ArrayList<>();
    List<Double> highPercentiles = new ArrayList<>();
    seconds.forEach(
        (second, values) -> {
          LatencySummary summary = LatencySummary.of(values);
          times.add((double) second);
          medians.add(summary.p50());
          highPercentiles.add(summary.p99());
        });
    return List.of(new Line("p50", times, medians), new Line("p99", times, highPercentiles));
  }

  private static void add(Map<Long, List<Long>> seconds, long second, long value) {
    seconds.computeIfAbsent(second, unused -> new ArrayList<>()).add(value);
  }

  private static long secondOf(RequestHistory request, long startNanoseconds) {
    return (request.first().intendedNanoseconds() - startNanoseconds) / NANOSECONDS_PER_SECOND;
  }
}
