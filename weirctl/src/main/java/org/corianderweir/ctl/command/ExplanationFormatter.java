package org.corianderweir.ctl.command;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.corianderweir.ctl.TextTable;
import org.corianderweir.logic.traffic.RequestExplanation;
import org.corianderweir.model.traffic.RequestKind;

/** Formats the explanation of one entry instance as text. */
final class ExplanationFormatter {
  private ExplanationFormatter() {}

  /** Returns an explanation as text. */
  static List<String> lines(RequestExplanation explanation) {
    List<String> lines = new ArrayList<>();
    lines.add(
        "instance %s, region %s, configuration %d"
            .formatted(
                explanation.instance(), explanation.region(), explanation.configurationVersion()));
    explanation.basis().ifPresent(basis -> lines.add("state: " + describeBasis(basis)));
    explanation.route().ifPresent(route -> lines.add("route: " + route));
    explanation
        .route()
        .ifPresent(
            unused -> lines.add("organisation: " + explanation.organisation().orElse("none")));
    explanation.limit().ifPresent(limit -> lines.add("limit: " + describeLimit(limit)));
    explanation
        .kind()
        .ifPresent(
            kind ->
                lines.add(
                    "kind: %s, %s"
                        .formatted(
                            kind,
                            RequestKind.of(kind).mayRunAgain()
                                ? "may run again"
                                : "runs at most once")));
    explanation.priority().ifPresent(priority -> lines.add("priority: " + priority));
    lines.add("admission: " + explanation.admission());
    explanation.service().ifPresent(service -> lines.add("service: " + service));
    explanation
        .capacity()
        .ifPresent(capacity -> lines.add("capacity: " + describeCapacity(capacity)));
    explanation.scope().ifPresent(scope -> lines.add("servers (" + scope + "):"));
    if (!explanation.candidates().isEmpty()) {
      lines.addAll(table(explanation.candidates()));
    }
    lines.add("outcome: " + describeOutcome(explanation.outcome()));
    return lines;
  }

  private static String describeBasis(RequestExplanation.Basis basis) {
    return "revision %d, %s"
        .formatted(
            basis.revision(),
            basis
                .ageMilliseconds()
                .map(age -> "confirmed %d ms ago".formatted(age))
                .orElse("never confirmed"));
  }

  private static String describeLimit(RequestExplanation.Limit limit) {
    return String.format(
        Locale.ROOT,
        "%.1f/s in the fleet, %sshare of this instance %.1f%%, %s",
        limit.limitPerSecond(),
        limit.demandPerSecond().map(demand -> describeDemand(demand, limit)).orElse(""),
        100 * limit.share(),
        limit.usedUp() ? "used up" : "not used up");
  }

  private static String describeDemand(double demand, RequestExplanation.Limit limit) {
    return String.format(
        Locale.ROOT, "demand %.1f/s at %d instances, ", demand, limit.instances().orElse(0));
  }

  private static String describeCapacity(RequestExplanation.Capacity capacity) {
    return String.format(
        Locale.ROOT,
        "%s, answer expected in %s, of which %d ms wait at the server, allowed wait %d ms, "
            + "%.1f free slots, %.1f%% of recent answers late by waiting",
        capacity.cause(),
        capacity.expectedMilliseconds() > 0
            ? capacity.expectedMilliseconds() + " ms"
            : "an unknown time",
        capacity.expectedWaitMilliseconds(),
        capacity.allowedWaitMilliseconds(),
        capacity.freeSlots(),
        100 * capacity.lateShare());
  }

  private static List<String> table(List<RequestExplanation.Candidate> candidates) {
    TextTable table =
        new TextTable(
            "",
            "SERVER",
            "ZONE",
            "CONDITION",
            "LOAD",
            "SPEED",
            "LATENCY",
            "FAILING",
            "AGE",
            "EXPECTED",
            "REASON");
    for (RequestExplanation.Candidate candidate : candidates) {
      table.add(
          candidate.taken() ? "+" : "-",
          candidate.server(),
          candidate.zone(),
          candidate.condition(),
          String.format(Locale.ROOT, "%.1f of %d", candidate.load(), candidate.slots()),
          String.format(Locale.ROOT, "%.2f", candidate.speedRatio()),
          String.format(Locale.ROOT, "%.2f", candidate.latencyRatio()),
          String.format(Locale.ROOT, "%.2f", candidate.failureRatio()),
          candidate.reportAgeMilliseconds().map(age -> age + " ms").orElse("-"),
          candidate
              .expectedLatencyRatio()
              .map(ratio -> String.format(Locale.ROOT, "%.2f", ratio))
              .orElse("-"),
          candidate.reason());
    }
    return table.lines();
  }

  private static String describeOutcome(RequestExplanation.Outcome outcome) {
    if (outcome.server().isPresent()) {
      return "sent to " + outcome.server().get();
    }
    if (outcome.waitMilliseconds().isPresent()) {
      return "wait, at the latest until " + outcome.waitMilliseconds().get() + " ms from now";
    }
    return outcome
        .reason()
        .map(
            reason ->
                "rejected with %s, %s, retry after %d ms"
                    .formatted(
                        outcome.status().map(String::valueOf).orElse("a response"),
                        reason,
                        outcome.retryAfterMilliseconds().orElse(0L)))
        .orElse(outcome.decision());
  }
}
