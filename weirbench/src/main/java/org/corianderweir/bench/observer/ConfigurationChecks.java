package org.corianderweir.bench.observer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Checks of the configuration in force. */
public final class ConfigurationChecks {
  /** Time within which an accepted configuration must be in force everywhere. */
  public static final Duration MAXIMUM_IN_FORCE_DELAY = Duration.ofSeconds(5);

  private ConfigurationChecks() {}

  /** The configuration in force never reverts. */
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

  /** An accepted configuration is in force everywhere within seconds. */
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

  /** An instance that could not follow has as long again after that. */
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
