package org.corianderweir.bench.observer;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.corianderweir.bench.backend.JournalEntry;
import org.corianderweir.bench.deployment.Deployment;
import org.corianderweir.bench.load.CallRecord;

/** Checks of the handling of access keys and of their withdrawal. */
public final class KeyChecks {
  /** Time after which a withdrawn key must be refused everywhere. */
  public static final Duration MAXIMUM_WITHDRAWAL_DELAY = Duration.ofSeconds(5);

  private KeyChecks() {}

  /** Checks that no key is forwarded to a backend server. */
  public static Verdict backendServersSeeNoKeys(Evidence evidence) {
    List<String> violations =
        evidence.journal().stream()
            .filter(JournalEntry::keySeen)
            .map(entry -> entry.server() + " saw the key of request " + entry.request())
            .toList();
    return Verdict.of("No backend server sees a key", evidence.journal().size(), violations);
  }

  /** Checks that a request runs for the organisation whose key the caller sent. */
  public static Verdict requestsRunForOwnOrganisation(Evidence evidence) {
    Map<String, String> organisations = new HashMap<>();
    for (CallRecord call : evidence.calls()) {
      organisations.put(call.identifier(), call.organisation());
    }
    List<String> violations =
        evidence.runs().stream()
            .filter(run -> !run.organisation().equals(organisations.get(run.request())))
            .map(
                run ->
                    "request %s of '%s' ran for '%s' on %s"
                        .formatted(
                            run.request(),
                            organisations.get(run.request()),
                            run.organisation(),
                            run.server()))
            .toList();
    return Verdict.of(
        "A request runs only for the organisation whose key came with it",
        evidence.runs().size(),
        violations);
  }

  /** Checks that no request without an organisation runs on a route that needs a key. */
  public static Verdict keyedRoutesNeedKeys(Evidence evidence) {
    List<String> keyedPaths =
        evidence.deployment().routes().stream()
            .filter(route -> !route.open())
            .map(Deployment.Route::path)
            .toList();
    List<JournalEntry> keyedRuns =
        evidence.runs().stream()
            .filter(run -> keyedPaths.stream().anyMatch(run.target()::startsWith))
            .toList();
    List<String> violations =
        keyedRuns.stream()
            .filter(run -> run.organisation().isEmpty())
            .map(run -> "request " + run.request() + " ran without an organisation")
            .toList();
    return Verdict.of(
        "A request runs only with a key, except on routes open to all",
        keyedRuns.size(),
        violations);
  }

  /**
   * Checks that no request with a withdrawn key runs if it was sent later than {@link
   * #MAXIMUM_WITHDRAWAL_DELAY} after the withdrawal was accepted.
   */
  public static Verdict withdrawnKeysAreRejected(Evidence evidence) {
    List<Incident.KeyWithdrawn> withdrawals =
        evidence.incidents(Incident.KeyWithdrawn.class).toList();
    List<String> violations =
        withdrawals.stream()
            .flatMap(each -> findRunsAfterWithdrawal(each, evidence).stream())
            .toList();
    return Verdict.of(
        "A withdrawn key stops working within seconds", withdrawals.size(), violations);
  }

  private static List<String> findRunsAfterWithdrawal(
      Incident.KeyWithdrawn withdrawn, Evidence evidence) {
    long limitNanoseconds = withdrawn.acceptedNanoseconds() + MAXIMUM_WITHDRAWAL_DELAY.toNanos();
    Map<String, Long> sentNanoseconds = new HashMap<>();
    evidence.calls().stream()
        .filter(call -> call.key().equals(withdrawn.key()))
        .filter(call -> call.startNanoseconds() > limitNanoseconds)
        .forEach(call -> sentNanoseconds.put(call.identifier(), call.startNanoseconds()));
    return evidence.runs().stream()
        .filter(
            run ->
                sentNanoseconds.containsKey(run.request())
                    && run.beginNanoseconds() > limitNanoseconds)
        .map(
            run ->
                "request %s ran on %s %.1f s after the withdrawal"
                    .formatted(
                        run.request(),
                        run.server(),
                        Duration.ofNanos(run.beginNanoseconds() - withdrawn.acceptedNanoseconds())
                                .toMillis()
                            / 1e3))
        .toList();
  }
}
