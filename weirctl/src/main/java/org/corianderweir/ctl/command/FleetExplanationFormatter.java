package org.corianderweir.ctl.command;

import java.util.ArrayList;
import java.util.List;
import java.util.LongSummaryStatistics;
import java.util.Optional;
import java.util.stream.Collectors;
import org.corianderweir.ctl.TextTable;
import org.corianderweir.logic.traffic.ExplanationComparison;
import org.corianderweir.logic.traffic.ExplanationComparison.Aspect;
import org.corianderweir.logic.traffic.RequestExplanation;

/** Formats the explanations of a fleet as text: a row for each instance, then the differences. */
final class FleetExplanationFormatter {
  /** Names that a line about a difference shows; the JSON format has all. */
  private static final int SHOWN_INSTANCES = 6;

  private static final String UNKNOWN = "-";

  private FleetExplanationFormatter() {}

  static List<String> lines(FleetExplanation fleet) {
    List<String> lines = new ArrayList<>();
    lines.add(
        "%d instances, listed by %s at revision %d"
            .formatted(
                fleet.explanations().size() + fleet.problems().size(),
                fleet.listedBy(),
                fleet.listRevision()));
    lines.addAll(table(fleet.explanations()));
    for (FleetExplanation.Problem problem : fleet.problems()) {
      lines.add("%s at %s: %s".formatted(problem.instance(), problem.address(), problem.message()));
    }
    if (fleet.differences().isEmpty()) {
      lines.add("no differences");
    }
    for (ExplanationComparison.Difference difference : fleet.differences()) {
      lines.add("different " + difference.aspect().label() + ":");
      for (ExplanationComparison.Group group : difference.groups()) {
        lines.add("  %s: %s".formatted(group.value(), names(group.instances())));
      }
    }
    return lines;
  }

  private static List<String> table(List<RequestExplanation> explanations) {
    TextTable table =
        new TextTable(
            "INSTANCE",
            "REGION",
            "ROUTE",
            "VERSION",
            "OUTCOME",
            "FIRST SERVER",
            "LIMIT",
            "REVISION",
            "VIEW",
            "REPORTS");
    for (RequestExplanation explanation : explanations) {
      Optional<RequestExplanation.Basis> basis = explanation.basis();
      table.add(
          explanation.instance(),
          explanation.region(),
          ExplanationComparison.value(Aspect.ROUTE, explanation),
          ExplanationComparison.value(Aspect.CONFIGURATION_VERSION, explanation),
          ExplanationComparison.value(Aspect.OUTCOME, explanation),
          ExplanationComparison.value(Aspect.FIRST_SERVER, explanation),
          ExplanationComparison.value(Aspect.LIMIT, explanation),
          basis.map(known -> Long.toString(known.revision())).orElse(UNKNOWN),
          basis
              .flatMap(RequestExplanation.Basis::ageMilliseconds)
              .map(age -> age + " ms")
              .orElse(UNKNOWN),
          reportAges(explanation));
    }
    return table.lines();
  }

  /** Returns the ages of the servers' reports, and of how many candidates there is one. */
  private static String reportAges(RequestExplanation explanation) {
    LongSummaryStatistics ages =
        explanation.candidates().stream()
            .flatMap(candidate -> candidate.reportAgeMilliseconds().stream())
            .mapToLong(Long::longValue)
            .summaryStatistics();
    return ages.getCount() == 0
        ? UNKNOWN
        : "%d to %d ms, %d of %d"
            .formatted(
                ages.getMin(), ages.getMax(), ages.getCount(), explanation.candidates().size());
  }

  private static String names(List<String> instances) {
    String shown = instances.stream().limit(SHOWN_INSTANCES).collect(Collectors.joining(", "));
    return instances.size() > SHOWN_INSTANCES
        ? shown + " and %d others".formatted(instances.size() - SHOWN_INSTANCES)
        : shown;
  }
}
