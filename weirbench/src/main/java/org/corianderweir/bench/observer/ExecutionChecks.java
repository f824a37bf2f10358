package org.corianderweir.bench.observer;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.corianderweir.bench.backend.JournalEntry;
import org.corianderweir.bench.load.CallRecord;

/** Checks of whether requests ran, and of what callers were told about it. */
public final class ExecutionChecks {
  private ExecutionChecks() {}

  /** A request that is not idempotent runs at most once. */
  public static Verdict runsAtMostOnce(Evidence evidence) {
    Map<String, List<JournalEntry>> writes =
        evidence.runs().stream()
            .filter(run -> !run.method().equals("GET"))
            .collect(Collectors.groupingBy(JournalEntry::request));
    List<String> violations = new ArrayList<>();
    writes.forEach(
        (request, runs) -> {
          if (runs.size() > 1) {
            String servers =
                runs.stream().map(JournalEntry::server).collect(Collectors.joining(", "));
            violations.add("request " + request + " ran " + runs.size() + " times: " + servers);
          }
        });
    return Verdict.of("A non-idempotent request runs at most once", writes.size(), violations);
  }

  /** A refusal that says "not run" is true. */
  public static Verdict notRunRefusalsAreCorrect(Evidence evidence) {
    Map<String, List<JournalEntry>> runs =
        evidence.runs().stream().collect(Collectors.groupingBy(JournalEntry::request));
    Map<String, List<CallRecord>> calls =
        evidence.calls().stream().collect(Collectors.groupingBy(CallRecord::identifier));
    List<String> violations = new ArrayList<>();
    long cases = 0;
    for (Map.Entry<String, List<CallRecord>> entry : calls.entrySet()) {
      List<JournalEntry> ran = runs.getOrDefault(entry.getKey(), List.of());
      for (CallRecord call : entry.getValue()) {
        if (call.saysNotRun()) {
          cases++;
          if (ran.stream().anyMatch(run -> belongsTo(run, call, entry.getValue()))) {
            violations.add(
                "request %s ran, but %s said %s not-run"
                    .formatted(call.identifier(), call.entryInstance(), call.refusal()));
          }
        }
      }
    }
    return Verdict.of("A refusal that says \"not run\" is true", cases, violations);
  }

  /** A run belongs to an attempt if no other attempt that may have run can have caused it. */
  private static boolean belongsTo(JournalEntry run, CallRecord call, List<CallRecord> attempts) {
    return run.beginNanoseconds() >= call.startNanoseconds()
        && attempts.stream()
            .noneMatch(
                other -> !other.saysNotRun() && other.startNanoseconds() <= run.beginNanoseconds());
  }

  /** A caller gets the whole answer to its own request. */
  public static Verdict answersMatchRequests(Evidence evidence) {
    List<CallRecord> answered =
        evidence.calls().stream()
            .filter(call -> call.outcome() == CallRecord.Outcome.ANSWERED)
            .toList();
    List<String> violations =
        answered.stream()
            .filter(call -> !isOwnAnswer(call))
            .map(
                call ->
                    "request %s got the answer to '%s' of '%s'"
                        .formatted(
                            call.identifier(), call.answeredRequest(), call.answeredOrganisation()))
            .toList();
    return Verdict.of(
        "A caller gets the whole answer to its own request", answered.size(), violations);
  }

  private static boolean isOwnAnswer(CallRecord call) {
    return call.answeredRequest().equals(call.identifier())
        && call.answeredOrganisation().equals(call.organisation());
  }

  /** An answer means that the request ran: nobody makes answers up. */
  public static Verdict answersComeFromRuns(Evidence evidence) {
    Map<String, List<JournalEntry>> runs =
        evidence.runs().stream().collect(Collectors.groupingBy(JournalEntry::request));
    List<CallRecord> answered =
        evidence.calls().stream()
            .filter(call -> call.outcome() == CallRecord.Outcome.ANSWERED)
            .toList();
    List<String> violations =
        answered.stream()
            .filter(call -> !runs.containsKey(call.identifier()))
            .map(call -> "request " + call.identifier() + " was answered and never ran")
            .toList();
    return Verdict.of("Every answer comes from a run", answered.size(), violations);
  }
}
