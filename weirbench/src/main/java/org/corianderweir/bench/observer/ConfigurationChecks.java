package org.corianderweir.bench.observer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Checks of the configuration that entry instances have in force. */
public final class ConfigurationChecks {
  /** Time after its acceptance by which a configuration must be in force on every instance. */
  public static final Duration MAXIMUM_IN_FORCE_DELAY = Duration.ofSeconds(5);

  private ConfigurationChecks() {}

  /** Checks that the revision in force on a process never decreases. */
  public static Verdict neverReverts(Evidence evidence) {
    Map<Long, RevisionSample> latest = new HashMap<>();
    List<String> violations = new ArrayList<>();
    for (RevisionSample sample : evidence.revisions()) {
      RevisionSample previous = latest.put(sample.process(), sample);
      if (previous != null && previous.revision() > sample.revision()) {
        violations.add(
            "%s went from revision %d to %d"
                .formatted(sample.instance(), previous.revision(), sample.revision()));
      }
    }
    return Verdict.of(
        "An accepted configuration never reverts", evidence.revisions().size(), violations);
  }

  /**
   * Checks that each accepted configuration, or a later one, is in force on every instance within
   * {@link #MAXIMUM_IN_FORCE_DELAY}.
   */
  public static Verdict isInForce(Evidence evidence) {
    List<Incident.RevisionAccepted> accepted =
        evidence.incidents(Incident.RevisionAccepted.class).toList();
    List<Incident.InstanceExcused> excuses =
        evidence.incidents(Incident.InstanceExcused.class).toList();
    List<String> violations = new ArrayList<>();
    long cases = 0;
    for (Incident.RevisionAccepted change : accepted) {
      long limitNanoseconds = change.acceptedNanoseconds() + MAXIMUM_IN_FORCE_DELAY.toNanos();
      for (RevisionSample sample : evidence.revisions()) {
        if (sample.askedNanoseconds() <= limitNanoseconds || isExcused(sample, excuses)) {
          continue;
        }
        cases++;
        if (sample.revision() < change.revision()) {
          violations.add(
              "%s had revision %d in force %d ms after %d was accepted"
                  .formatted(
                      sample.instance(),
                      sample.revision(),
                      Duration.ofNanos(sample.askedNanoseconds() - change.acceptedNanoseconds())
                          .toMillis(),
                      change.revision()));
        }
      }
    }
    return Verdict.of(
        "An accepted configuration is in force everywhere within seconds", cases, violations);
  }

  /**
   * Returns whether the sample was taken while its instance was killed, frozen or cut off, or
   * within {@link #MAXIMUM_IN_FORCE_DELAY} after that: the instance then has the full delay to
   * catch up.
   */
  private static boolean isExcused(RevisionSample sample, List<Incident.InstanceExcused> excuses) {
    return excuses.stream()
        .filter(excuse -> excuse.instance().equals(sample.instance()))
        .anyMatch(
            excuse ->
                sample.askedNanoseconds() >= excuse.fromNanoseconds()
                    && sample.askedNanoseconds()
                        <= excuse.toNanoseconds() + MAXIMUM_IN_FORCE_DELAY.toNanos());
  }
}
