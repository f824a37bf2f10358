package org.corianderweir.daemon.traffic;

import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.corianderweir.logic.keys.KeyDecision;
import org.corianderweir.logic.keys.KeyDirectory;
import org.corianderweir.logic.keys.KeyFreshnessView;
import org.corianderweir.model.configuration.Selector;
import org.corianderweir.model.request.RefusalReason;

/** Decides whether a request may use its route with its access key. */
final class KeyAuthoriser {
  private final Supplier<KeyFreshnessView> keyFreshness;

  KeyAuthoriser(Supplier<KeyFreshnessView> keyFreshness) {
    this.keyFreshness = keyFreshness;
  }

  /** Whether a request may use its route. */
  sealed interface Authorisation {
    /**
     * It may.
     *
     * @param organisation organisation of the key; empty on an open route
     */
    record Accepted(Optional<String> organisation) implements Authorisation {}

    /** It may not. */
    record Refused(RefusalReason reason, String message) implements Authorisation {}
  }

  /**
   * Decides on a request.
   *
   * @param selector selector that matches the request
   * @param key access key of the request
   * @param keys the keys in force
   */
  Authorisation authorise(
      Selector selector, Optional<String> key, KeyDirectory keys, long nowNanoseconds) {
    if (selector.open()) {
      return new Authorisation.Accepted(Optional.empty());
    }
    if (key.isEmpty()) {
      return new Authorisation.Refused(RefusalReason.KEY_MISSING, "the route needs a key");
    }
    return switch (keys.check(key.get())) {
      case KeyDecision.Rejected rejected ->
          new Authorisation.Refused(RefusalReason.KEY_REJECTED, "the key is not in force");
      case KeyDecision.Accepted accepted ->
          authorise(selector, accepted.organisation(), nowNanoseconds);
    };
  }

  private Authorisation authorise(Selector selector, String organisation, long nowNanoseconds) {
    List<String> allowed = selector.organisations();
    if (!allowed.isEmpty() && !allowed.contains(organisation)) {
      return new Authorisation.Refused(RefusalReason.ROUTE_FORBIDDEN, "not for this organisation");
    }
    return keyFreshness.get().mayAcceptKeys(organisation, nowNanoseconds)
        ? new Authorisation.Accepted(Optional.of(organisation))
        : new Authorisation.Refused(RefusalReason.KEYS_STALE, "the keys can't be confirmed");
  }
}
