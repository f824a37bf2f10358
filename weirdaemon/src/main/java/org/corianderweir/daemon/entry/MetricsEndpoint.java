package org.corianderweir.daemon.entry;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.corianderweir.http.ClosureCause;
import org.corianderweir.http.HttpHeaders;
import org.corianderweir.http.HttpListener;
import org.corianderweir.http.HttpListenerOptions;
import org.corianderweir.http.HttpRequest;
import org.corianderweir.http.HttpResponse;
import org.corianderweir.protocol.Json;
import org.corianderweir.protocol.operator.FleetListing;
import org.corianderweir.protocol.operator.RequestSample;

/**
 * Serves counters and timers in the text format of Prometheus, explanations of requests, and the
 * list of the entry instances.
 */
final class MetricsEndpoint {
  private static final String PATH = "/metrics";
  private static final int STATUS_OK = 200;
  private static final int STATUS_NOT_FOUND = 404;
  private static final double[] QUANTILES = {0.5, 0.9, 0.99};
  private static final double NANOSECONDS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

  private final MetricRegistry metrics;
  private final ExplainEndpoint explanations;
  private final Supplier<FleetListing> fleet;
  private final HttpListener listener;

  MetricsEndpoint(
      HttpListenerOptions options,
      MetricRegistry metrics,
      ExplainEndpoint explanations,
      Supplier<FleetListing> fleet) {
    this.metrics = metrics;
    this.explanations = explanations;
    this.fleet = fleet;
    listener = new HttpListener(options, this::answer);
    exportLimits(options.name(), listener);
  }

  /** Adds metrics of what unfinished requests occupy, and of connections closed at limits. */
  void exportLimits(String name, HttpListener limited) {
    metrics.gauge("connections." + name + ".unfinished-bytes", () -> limited::unfinishedBytes);
    for (ClosureCause cause : ClosureCause.values()) {
      metrics.gauge(
          "connections." + name + ".closed." + cause,
          () -> () -> limited.closures().getOrDefault(cause, 0L));
    }
  }

  void start() {
    listener.start();
  }

  void stop() {
    listener.stop(0);
  }

  /** Returns all metrics as text. */
  @SuppressWarnings("rawtypes")
  String text() {
    StringBuilder text = new StringBuilder();
    for (Map.Entry<String, Counter> counter : metrics.getCounters().entrySet()) {
      append(text, name(counter.getKey()) + "_total", counter.getValue().getCount());
    }
    for (Map.Entry<String, Gauge> gauge : metrics.getGauges().entrySet()) {
      if (gauge.getValue().getValue() instanceof Number value) {
        append(text, name(gauge.getKey()), value);
      }
    }
    for (Map.Entry<String, Meter> meter : metrics.getMeters().entrySet()) {
      append(text, name(meter.getKey()) + "_total", meter.getValue().getCount());
    }
    for (Map.Entry<String, Timer> timer : metrics.getTimers().entrySet()) {
      String name = name(timer.getKey()) + "_seconds";
      Snapshot snapshot = timer.getValue().getSnapshot();
      for (double quantile : QUANTILES) {
        double seconds = snapshot.getValue(quantile) / NANOSECONDS_PER_SECOND;
        append(text, name + "{quantile=\"" + quantile + "\"}", seconds);
      }
      append(text, name + "_count", timer.getValue().getCount());
    }
    return text.toString();
  }

  private CompletableFuture<HttpResponse> answer(HttpRequest request) {
    if (request.path().equals(RequestSample.ENDPOINT_PATH)) {
      return CompletableFuture.completedFuture(explanations.answer(request));
    }
    if (request.path().equals(FleetListing.ENDPOINT_PATH)) {
      return CompletableFuture.completedFuture(
          HttpResponse.json(STATUS_OK, Json.write(fleet.get())));
    }
    boolean known = request.path().equals(PATH);
    return CompletableFuture.completedFuture(
        new HttpResponse(
            known ? STATUS_OK : STATUS_NOT_FOUND,
            HttpHeaders.NONE.with("Content-Type", "text/plain; version=0.0.4"),
            known ? text().getBytes(StandardCharsets.UTF_8) : new byte[0]));
  }

  private static String name(String metric) {
    return "corianderweir_" + metric.replaceAll("[^A-Za-z0-9]", "_").toLowerCase(Locale.ROOT);
  }

  private static void append(StringBuilder text, String name, Number value) {
    text.append(name).append(' ').append(value).append('\n');
  }
}
