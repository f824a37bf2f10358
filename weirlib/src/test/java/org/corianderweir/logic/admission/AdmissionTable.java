package org.corianderweir.logic.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.TreeMap;

/** Outcomes of the simulated requests by class, organisation and zone. */
final class AdmissionTable {
  private static final double LATE_CREDIT = 0.2;

  private final TreeMap<String, Row> rows = new TreeMap<>();
  private double credit;

  /** Numbers of requests that were answered in time, late, and not at all. */
  static final class Row {
    private int inTime;
    private int late;
    private int refused;

    double served() {
      return (double) (inTime + late) / (inTime + late + refused);
    }

    double credit() {
      return inTime + LATE_CREDIT * late;
    }
  }

  void count(int priority, int organisation, int zone, double latency, double target) {
    for (String name :
        List.of("all", "class " + priority, "zone " + zone, "org %02d".formatted(organisation))) {
      Row row = rows.computeIfAbsent(name, unused -> new Row());
      if (latency <= target) {
        row.inTime++;
      } else if (latency < Double.POSITIVE_INFINITY) {
        row.late++;
      } else {
        row.refused++;
      }
    }
    double rank = AdmissionModel.CLASSES - priority;
    credit += rank * (latency <= target ? 1 : latency < Double.POSITIVE_INFINITY ? LATE_CREDIT : 0);
  }

  /** Adds the outcomes of another run. */
  void add(AdmissionTable other) {
    other.rows.forEach(
        (name, row) -> {
          Row sum = rows.computeIfAbsent(name, unused -> new Row());
          sum.inTime += row.inTime;
          sum.late += row.late;
          sum.refused += row.refused;
        });
    credit += other.credit;
  }

  double credit() {
    return credit;
  }

  Row row(String name) {
    return rows.get(name);
  }

  /** Returns the rows of the organisations. */
  List<Row> organisations() {
    return new ArrayList<>(rows.subMap("org", "orh").values());
  }

  /** Returns the lines of the table; of the organisations the first, the least and most served. */
  String lines(String title) {
    StringBuilder text = new StringBuilder();
    rows.forEach(
        (name, row) -> {
          if (!name.startsWith("org") || name.equals("org 00")) {
            text.append(line(title, name, row));
          }
        });
    List<Row> sorted = organisations();
    sorted.sort((one, other) -> Double.compare(one.served(), other.served()));
    text.append(line(title, "org least", sorted.getFirst()));
    text.append(line(title, "org most", sorted.getLast()));
    return text + "%-34s credit %.0f%n".formatted(title, credit);
  }

  private static String line(String title, String name, Row row) {
    double sum = row.inTime + row.late + row.refused;
    return String.format(
        Locale.ROOT,
        "%-34s %-9s in time %.3f late %.3f refused %.3f of %.0f%n",
        title,
        name,
        row.inTime / sum,
        row.late / sum,
        row.refused / sum,
        sum);
  }
}
