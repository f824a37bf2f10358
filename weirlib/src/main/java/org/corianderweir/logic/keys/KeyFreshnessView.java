package org.corianderweir.logic.keys;

import java.time.Duration;
import java.util.Map;
import java.util.stream.Collectors;
import org.corianderweir.model.configuration.Configuration;
import org.corianderweir.model.configuration.Organisation;

/**
 * Tells traffic threads whether keys may be accepted. Immutable.
 *
 * @param confirmed whether the configuration in force was ever confirmed
 * @param asOfNanoseconds latest moment at which it was current, by the own monotonic clock
 * @param stalenessLimits organisations whose keys may be older than the limit, and how old
 */
public record KeyFreshnessView(
    boolean confirmed, long asOfNanoseconds, Map<String, Duration> stalenessLimits) {
  /** Age of a confirmation up to which keys are accepted. */
  public static final Duration DEFAULT_STALENESS_LIMIT = Duration.ofSeconds(10);

  /** Nothing is confirmed. */
  public static final KeyFreshnessView UNCONFIRMED = new KeyFreshnessView(false, 0, Map.of());

  /** Copies the map. */
  public KeyFreshnessView {
    stalenessLimits = Map.copyOf(stalenessLimits);
  }

  /** Returns the allowances that operators have set. */
  public static Map<String, Duration> stalenessLimits(Configuration configuration) {
    return configuration.organisations().stream()
        .filter(
            organisation ->
                organisation.keyStalenessMilliseconds() > DEFAULT_STALENESS_LIMIT.toMillis())
        .collect(
            Collectors.toMap(
                Organisation::name,
                organisation -> Duration.ofMillis(organisation.keyStalenessMilliseconds())));
  }

  /** Returns whether keys of an organisation may be accepted now. */
  public boolean mayAcceptKeys(String organisation, long nowNanoseconds) {
    Duration limit = stalenessLimits.getOrDefault(organisation, DEFAULT_STALENESS_LIMIT);
    return confirmed && nowNanoseconds - asOfNanoseconds <= limit.toNanos();
  }
}
