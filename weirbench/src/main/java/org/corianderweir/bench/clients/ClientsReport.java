package org.corianderweir.bench.clients;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;
import org.corianderweir.bench.clients.ClientsExperiment.Result;
import org.corianderweir.bench.clients.ClientsExperiment.Row;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.Styler;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** Writes the results of a group of clients as CSV and as a plot. */
public final class ClientsReport {
  /** The columns of {@link #summary}. */
  public static final String SUMMARY_HEADER =
      "group,interfaces,process,exit_status,largest_resident_mib,largest_heap_mib,"
          + "largest_descriptors,problem";

  private static final int WIDTH_PIXELS = 1_000;
  private static final int HEIGHT_PIXELS = 500;
  private static final int DESCRIPTOR_AXIS = 1;

  private ClientsReport() {}

  /** Returns a result in one line of CSV. */
  public static String summary(Result result) {
    return "%s,%s,%s,%s,%.0f,%.0f,%.0f,%s"
        .formatted(
            result.crowd(),
            result.interfaces(),
            result.processEnded() ? "ended" : "alive",
            result.exitStatus().isPresent() ? result.exitStatus().getAsInt() : "",
            largest(result, Row::residentMebibytes),
            largest(result, Row::heapMebibytes),
            largest(result, Row::descriptors),
            result.problem().map(text -> '"' + text.replace('"', '\'') + '"').orElse(""));
  }

  /** Writes the results of one group into files that have its name. */
  public static void write(Path directory, UncontrolledCrowd crowd, List<Result> results)
      throws IOException {
    String name = crowd.name().toLowerCase(Locale.ROOT);
    List<String> lines = new ArrayList<>();
    lines.add("interfaces,seconds,resident_mib,heap_mib,descriptors");
    for (Result result : results) {
      for (Row row : result.rows()) {
        lines.add(
            "%s,%.3f,%.1f,%d,%d"
                .formatted(
                    result.interfaces(),
                    row.seconds(),
                    row.residentMebibytes(),
                    row.heapMebibytes(),
                    row.descriptors()));
      }
    }
    Files.createDirectories(directory);
    Files.write(directory.resolve(name + ".csv"), lines);
    Path plot = directory.resolve(name + ".png");
    BitmapEncoder.saveBitmap(
        chart(crowd, results), plot.toString(), BitmapEncoder.BitmapFormat.PNG);
  }

  private static XYChart chart(UncontrolledCrowd crowd, List<Result> results) {
    XYChart chart =
        new XYChartBuilder()
            .width(WIDTH_PIXELS)
            .height(HEIGHT_PIXELS)
            .title(crowd.name())
            .xAxisTitle("seconds")
            .build();
    chart.setYAxisGroupTitle(0, "MiB");
    chart.setYAxisGroupTitle(DESCRIPTOR_AXIS, "descriptors");
    chart.getStyler().setYAxisGroupPosition(DESCRIPTOR_AXIS, Styler.YAxisPosition.Right);
    for (Result result : results) {
      if (!result.rows().isEmpty()) {
        String at = " at " + result.interfaces();
        addLine(chart, "resident" + at, result, Row::residentMebibytes, 0);
        addLine(chart, "heap" + at, result, Row::heapMebibytes, 0);
        addLine(chart, "descriptors" + at, result, Row::descriptors, DESCRIPTOR_AXIS);
      }
    }
    return chart;
  }

  private static void addLine(
      XYChart chart, String name, Result result, ToDoubleFunction<Row> value, int axis) {
    double[] seconds = result.rows().stream().mapToDouble(Row::seconds).toArray();
    double[] values = result.rows().stream().mapToDouble(value).toArray();
    chart.addSeries(name, seconds, values).setMarker(SeriesMarkers.NONE).setYAxisGroup(axis);
  }

  private static double largest(Result result, ToDoubleFunction<Row> value) {
    return result.rows().stream().mapToDouble(value).max().orElse(0);
  }
}
