package org.corianderweir.logic.keys;

import java.time.Duration;
import java.util.Map;
import java.util.stream.Collectors;
import org.corianderweir.model.configuration.Configuration;
import org.corianderweir.model.configuration.Organisation;

/**
 * An immutable view of the key freshness, from which the threads that serve requests decide whether
 * keys may be accepted.
 *
 * @param confirmed whether the configuration in force was ever confirmed
 * @param asOfNanoseconds latest time at which it was current, on this process's monotonic clock
 * @param stalenessLimits limits of the organisations that have a longer staleness limit than the
 *     default
 */
public record KeyFreshnessView(
    boolean confirmed, long asOfNanoseconds, Map<String, Duration> stalenessLimits) {
  /** Age of the latest confirmation up to which keys are accepted by default. */
  public static final Duration DEFAULT_STALENESS_LIMIT = Duration.ofSeconds(10);

  /** A view without any confirmation. */
  public static final KeyFreshnessView UNCONFIRMED = new KeyFreshnessView(false, 0, Map.of());

  /** Copies the map. */
  public KeyFreshnessView {
    stalenessLimits = Map.copyOf(stalenessLimits);
  }

  /** Returns the staleness limits above the default that operators have set. */
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
