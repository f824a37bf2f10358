package org.corianderweir.ctl;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.corianderweir.logic.steering.explain.DryRunReport;

/** Formats the report of a dry run, which shows the effect that a change would have. */
public final class DryRunFormatter {
  private static final double PERCENT_PER_UNIT = 100;

  private DryRunFormatter() {}

  /** Returns the report in both output formats. */
  public static CommandResult format(DryRunReport report) {
    List<String> lines = new ArrayList<>();
    lines.add("tried on revision " + report.revision() + "; nothing was applied");
    if (report.shifts().isEmpty()) {
      lines.add("no traffic would move");
    }
    for (DryRunReport.PlannedShift shift : report.shifts()) {
      lines.add("");
      lines.add(
          String.format(
              Locale.ROOT,
              "selector %s: %s of the traffic moves, at most %s a second, complete after %.1f s",
              shift.selector(),
              formatPercentage(shift.movedShare()),
              formatPercentage(shift.capPerSecond()),
              shift.secondsUntilComplete()));
      TextTable table = new TextTable("CALLERS IN", "REGION", "ZONE", "BEFORE", "AFTER", "SLOTS");
      shift
          .zones()
          .forEach(
              zone ->
                  table.add(
                      zone.callerRegion(),
                      zone.region(),
                      zone.availabilityZone(),
                      formatPercentage(zone.before()),
                      formatPercentage(zone.after()),
                      zone.slotsAfter()));
      lines.addAll(table.lines());
    }
    if (!report.problems().isEmpty()) {
      lines.add("");
      lines.add("problems:");
      report.problems().forEach(problem -> lines.add("  " + problem));
    }
    return new CommandResult(report, lines);
  }

  /** Formats a share from 0 to 1 as a percentage with one decimal. */
  public static String formatPercentage(double share) {
    return String.format(Locale.ROOT, "%.1f%%", share * PERCENT_PER_UNIT);
  }
}
