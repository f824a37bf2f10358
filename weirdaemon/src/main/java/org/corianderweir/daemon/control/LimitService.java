package org.corianderweir.daemon.control;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.corianderweir.kernel.Service;
import org.corianderweir.kernel.ServiceDirectory;
import org.corianderweir.kernel.ServiceName;
import org.corianderweir.logic.limits.AdmissionDecision;
import org.corianderweir.logic.limits.TokenBucket;
import org.corianderweir.model.configuration.Configuration;
import org.corianderweir.model.configuration.Organisation;

/** Holds each organisation to this instance's fixed share of its rate and burst. */
public final class LimitService implements Service {
  /** The name of this service. */
  public static final ServiceName<LimitService> NAME =
      new ServiceName<>("limits", LimitService.class);

  /** Largest number of entry instances; each has the same share of every limit. */
  private static final int SHARES = 18;

  private static final long RETRY_AFTER_MILLISECONDS = 1_000;

  private final ConfigurationService configuration;
  private final Map<String, LimitedOrganisation> limited = new ConcurrentHashMap<>();

  private record LimitedOrganisation(Organisation organisation, TokenBucket bucket) {}

  /** Creates the service without limits in force. */
  public LimitService(ConfigurationService configuration) {
    this.configuration = configuration;
  }

  /** Decides on a request of an organisation; any thread may call this. */
  public CompletableFuture<AdmissionDecision> admit(String organisation, long nowNanoseconds) {
    LimitedOrganisation entry = limited.get(organisation);
    if (entry == null) {
      return CompletableFuture.completedFuture(
          new AdmissionDecision.Refused(RETRY_AFTER_MILLISECONDS));
    }
    synchronized (entry.bucket()) {
      AdmissionDecision decision =
          entry.bucket().tryTake(1, nowNanoseconds)
              ? new AdmissionDecision.Admitted()
              : new AdmissionDecision.Refused(RETRY_AFTER_MILLISECONDS);
      return CompletableFuture.completedFuture(decision);
    }
  }

  @Override
  public List<ServiceName<?>> dependencies() {
    return List.of(ConfigurationService.NAME);
  }

  @Override
  public void start(ServiceDirectory directory) {
    configuration.onChange(this::adopt);
  }

  @Override
  public void stop() {}

  private void adopt(Configuration changed) {
    for (Organisation organisation : changed.organisations()) {
      LimitedOrganisation known = limited.get(organisation.name());
      if (known == null || !known.organisation().equals(organisation)) {
        limited.put(
            organisation.name(), new LimitedOrganisation(organisation, bucket(organisation)));
      }
    }
    limited
        .keySet()
        .removeIf(
            name ->
                changed.organisations().stream()
                    .noneMatch(organisation -> organisation.name().equals(name)));
  }

  private static TokenBucket bucket(Organisation organisation) {
    double rate = organisation.requestsPerSecond() / SHARES;
    double burst = Math.max(1.0, (double) organisation.burst() / SHARES);
    return new TokenBucket(rate, burst, 0, System.nanoTime());
  }
}
