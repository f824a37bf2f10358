package org.corianderweir.logic.traffic;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.corianderweir.model.traffic.CallerOrganisation;
import org.corianderweir.model.traffic.TrafficRoute;

/** A request that was admitted, and what has become of it so far. Not thread-safe. */
public final class AdmittedRequest {
  private final RequestAttributes attributes;
  private final TrafficRoute route;
  private final Optional<CallerOrganisation> organisation;
  private final String service;
  private final long arrivedNanoseconds;
  private final long deadlineNanoseconds;
  private final long configurationVersion;
  private final Set<String> triedServers = new HashSet<>();
  private int sendCount;
  private int rank;
  private boolean pending;
  private boolean mayHaveRun;

  AdmittedRequest(
      RequestAttributes attributes,
      TrafficRoute route,
      Optional<CallerOrganisation> organisation,
      String service,
      long arrivedNanoseconds,
      long deadlineNanoseconds,
      long configurationVersion) {
    this.attributes = attributes;
    this.route = route;
    this.organisation = organisation;
    this.service = service;
    this.arrivedNanoseconds = arrivedNanoseconds;
    this.deadlineNanoseconds = deadlineNanoseconds;
    this.configurationVersion = configurationVersion;
  }

  /** Returns what the request says of itself. */
  public RequestAttributes attributes() {
    return attributes;
  }

  /** Returns its route. */
  public TrafficRoute route() {
    return route;
  }

  /** Returns the organisation whose key it came with. */
  public Optional<CallerOrganisation> organisation() {
    return organisation;
  }

  /** Returns the service that it goes to. */
  public String service() {
    return service;
  }

  /** Returns the monotonic time of its arrival. */
  public long arrivedNanoseconds() {
    return arrivedNanoseconds;
  }

  /** Returns the monotonic time at which it must have its final answer. */
  public long deadlineNanoseconds() {
    return deadlineNanoseconds;
  }

  /** Returns the version of the configuration that decided. */
  public long configurationVersion() {
    return configurationVersion;
  }

  /** Returns how often it was sent to a server. */
  public int sendCount() {
    return sendCount;
  }

  /** Returns whether a server may have run it or may still do so. */
  public boolean mayHaveRun() {
    return mayHaveRun || pending;
  }

  /** Returns whether a region may handle it. */
  boolean allowsRegion(String region) {
    boolean allowedByRoute =
        route.allowedRegions().isEmpty() || route.allowedRegions().contains(region);
    Set<String> organisationRegions =
        organisation.map(CallerOrganisation::allowedRegions).orElse(Set.of());
    return allowedByRoute
        && (organisationRegions.isEmpty() || organisationRegions.contains(region));
  }

  boolean hasTried(String server) {
    return triedServers.contains(server);
  }

  /** Returns the place of the last server among those for the request's object, 0 for the first. */
  public int rank() {
    return rank;
  }

  void recordSend(String server, int serverRank) {
    rank = serverRank;
    triedServers.add(server);
    sendCount++;
    pending = true;
  }

  /**
   * The last send certainly was not run and never will be.
   *
   * @param reachedServer whether it reached the server
   */
  void recordNotRun(boolean reachedServer) {
    pending = false;
    if (!reachedServer) {
      sendCount--;
    }
  }

  /** The last send may have been run. */
  void recordUncertainOutcome() {
    pending = false;
    mayHaveRun = true;
  }
}
