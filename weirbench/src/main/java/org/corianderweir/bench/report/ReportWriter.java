package org.corianderweir.bench.report;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import org.corianderweir.bench.deployment.DeploymentLayout;
import org.corianderweir.bench.observer.Evidence;
import org.corianderweir.bench.observer.Incident;
import org.corianderweir.bench.observer.Observer;
import org.corianderweir.bench.observer.Verdict;
import org.corianderweir.bench.scenario.RunOptions;
import org.corianderweir.bench.scenario.ScenarioRun;
import org.corianderweir.protocol.Json;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;

/** Creates the report of a run and writes it as JSON and as an HTML page with charts. */
public final class ReportWriter {
  private static final int WIDTH_PIXELS = 900;
  private static final int HEIGHT_PIXELS = 300;
  private static final double NANOSECONDS_PER_SECOND = 1e9;

  private ReportWriter() {}

  /** Checks and measures a run. Runs of the baseline are measured only. */
  public static RunReport report(RunOptions options, ScenarioRun.Outcome outcome) {
    Evidence evidence = outcome.evidence();
    Measures measures = new Measures(evidence, outcome.startNanoseconds());
    List<Verdict> verdicts = options.baseline() ? List.of() : Observer.judge(evidence);
    List<RunReport.OrganisationResult> organisations = measures.organisations();
    List<String> notes = notes(outcome);
    return new RunReport(
        description(options),
        verdicts.stream().allMatch(Verdict::kept) && notes.isEmpty(),
        verdicts,
        measures.latency(),
        measures.waiting(),
        measures.requests().size(),
        measures.requests().stream().filter(RequestHistory::answered).count(),
        measures.failures(),
        organisations.stream().mapToLong(RunReport.OrganisationResult::wrongfullyRefused).sum(),
        measures.shed(),
        measures.repeated(),
        Measures.worstServed(organisations),
        organisations,
        measures.headroom(),
        measures.drains(),
        evidence.incidents().stream().map(each -> describe(each, outcome)).toList(),
        notes);
  }

  /** Writes {@code report.json} and {@code index.html} into a directory. */
  public static void write(Path directory, RunReport report, ScenarioRun.Outcome outcome) {
    try {
      Files.createDirectories(directory);
      Files.writeString(directory.resolve("report.json"), Json.writeIndented(report));
      Files.writeString(directory.resolve("index.html"), page(report, outcome));
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  private static List<String> notes(ScenarioRun.Outcome outcome) {
    List<String> notes = new ArrayList<>();
    if (!outcome.allEnded()) {
      notes.add("some requests had not ended when the run did");
    }
    outcome
        .evidence()
        .incidents(Incident.ActionFailed.class)
        .forEach(failed -> notes.add("an action of the bench failed: " + failed.message()));
    return notes;
  }

  private static RunReport.RunDescription description(RunOptions options) {
    DeploymentLayout layout = new DeploymentLayout(options.deployment(), options.firstPort());
    return new RunReport.RunDescription(
        options.deployment().name(),
        options.scenario().name(),
        options.seed(),
        options.baseline(),
        options.duration().toMillis() / 1e3,
        options.loadFactor(),
        layout.entryInstances().size(),
        layout.backendServers().size());
  }

  private static String describe(Incident incident, ScenarioRun.Outcome outcome) {
    long atNanoseconds =
        switch (incident) {
          case Incident.KeyWithdrawn each -> each.acceptedNanoseconds();
          case Incident.ServerDrained each -> each.acceptedNanoseconds();
          case Incident.InstanceStopped each -> each.requestedNanoseconds();
          case Incident.InstanceExcused each -> each.fromNanoseconds();
          case Incident.ServerFaulty each -> each.fromNanoseconds();
          case Incident.ShiftStarted each -> each.acceptedNanoseconds();
          case Incident.ServerKilled each -> each.atNanoseconds();
          case Incident.RevisionAccepted each -> each.acceptedNanoseconds();
          case Incident.ActionFailed each -> each.atNanoseconds();
        };
    double seconds = (atNanoseconds - outcome.startNanoseconds()) / NANOSECONDS_PER_SECOND;
    return "%.2f s: %s".formatted(seconds, incident);
  }

  private static String page(RunReport report, ScenarioRun.Outcome outcome) throws IOException {
    long start = outcome.startNanoseconds();
    List<RequestHistory> requests = new Measures(outcome.evidence(), start).requests();
    String charts =
        chart("Latency", "milliseconds", TimeSeries.latency(requests, start))
            + chart(
                "Wait before the backend server",
                "milliseconds",
                TimeSeries.waiting(outcome.evidence(), requests, start))
            + chart("Answers and refusals", "per second", TimeSeries.outcomes(requests, start));
    StringBuilder verdicts = new StringBuilder();
    for (Verdict verdict : report.verdicts()) {
      verdicts.append(
          "<tr><td>%s</td><td>%s</td><td>%d</td><td>%s</td></tr>%n"
              .formatted(
                  verdict.kept() ? "kept" : "BROKEN",
                  escape(verdict.promise()),
                  verdict.cases(),
                  escape(String.join("; ", verdict.violations()))));
    }
    String title = report.run().deployment() + " " + report.run().scenario();
    return """
        <!DOCTYPE html>
        <html lang="en"><head><meta charset="utf-8"><title>%1$s</title></head>
        <body><h1>%1$s, seed %2$d</h1>
        %3$s
        <table border="1"><tr><th></th><th>promise</th><th>cases</th><th>violations</th></tr>
        %4$s</table>
        <pre>%5$s</pre>
        </body></html>
        """
        .formatted(
            escape(title),
            report.run().seed(),
            charts,
            verdicts,
            escape(Json.writeIndented(report)));
  }

  private static String chart(String title, String unit, List<TimeSeries.Line> lines)
      throws IOException {
    XYChart chart =
        new XYChartBuilder()
            .width(WIDTH_PIXELS)
            .height(HEIGHT_PIXELS)
            .title(title)
            .xAxisTitle("seconds")
            .yAxisTitle(unit)
            .build();
    for (TimeSeries.Line line : lines) {
      if (!line.seconds().isEmpty()) {
        chart.addSeries(line.name(), line.seconds(), line.values());
      }
    }
    byte[] bytes = BitmapEncoder.getBitmapBytes(chart, BitmapEncoder.BitmapFormat.PNG);
    return "<img alt=\"%s\" src=\"data:image/png;base64,%s\">%n"
        .formatted(escape(title), Base64.getEncoder().encodeToString(bytes));
  }

  private static String escape(String text) {
    return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
  }
}
