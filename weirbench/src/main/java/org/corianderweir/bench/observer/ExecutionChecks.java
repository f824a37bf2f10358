package org.corianderweir.bench.observer;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.corianderweir.bench.backend.JournalEntry;
import org.corianderweir.bench.load.CallRecord;

/** Checks of how often requests ran and of what callers were told about it. */
public final class ExecutionChecks {
  private ExecutionChecks() {}

  /** Checks that a non-idempotent request, which is any but a GET, runs at most once. */
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

  /** Checks that a request whose refusal says "not run" did not run. */
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

  /**
   * Returns whether a run contradicts an attempt that was refused as not run: the run began after
   * the attempt was sent, and every attempt sent before the run was refused as not run.
   */
  private static boolean belongsTo(JournalEntry run, CallRecord call, List<CallRecord> attempts) {
    return run.beginNanoseconds() >= call.startNanoseconds()
        && attempts.stream()
            .noneMatch(
                other -> !other.saysNotRun() && other.startNanoseconds() <= run.beginNanoseconds());
  }

  /** Checks that each answer is complete and belongs to the caller's own request. */
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

  /** Checks that every answered request ran on a backend server, so that no answer is made up. */
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
