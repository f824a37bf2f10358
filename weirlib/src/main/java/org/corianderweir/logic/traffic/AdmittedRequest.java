package org.corianderweir.logic.traffic;

import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.corianderweir.logic.admission.Assessment;
import org.corianderweir.logic.admission.Candidate;
import org.corianderweir.model.traffic.CallerOrganisation;
import org.corianderweir.model.traffic.RequestKind;
import org.corianderweir.model.traffic.TrafficRoute;

/** An admitted request and the state of its sends to servers. Not thread-safe. */
public final class AdmittedRequest {
  private final RequestAttributes attributes;
  private final TrafficRoute route;
  private final Optional<CallerOrganisation> organisation;
  private final String service;
  private final long bodyBytes;
  private final long arrivedNanoseconds;
  private final long deadlineNanoseconds;
  private final long configurationVersion;
  private final Set<String> triedServers = new HashSet<>();
  private int sendCount;
  private int rank;
  private boolean pending;
  private boolean mayHaveRun;
  private boolean mayWait = true;
  private Optional<Assessment> assessment = Optional.empty();
  private Optional<Candidate> candidate = Optional.empty();

  AdmittedRequest(
      RequestAttributes attributes,
      TrafficRoute route,
      Optional<CallerOrganisation> organisation,
      String service,
      long bodyBytes,
      long arrivedNanoseconds,
      long deadlineNanoseconds,
      long configurationVersion) {
    this.attributes = attributes;
    this.route = route;
    this.organisation = organisation;
    this.service = service;
    this.bodyBytes = bodyBytes;
    this.arrivedNanoseconds = arrivedNanoseconds;
    this.deadlineNanoseconds = deadlineNanoseconds;
    this.configurationVersion = configurationVersion;
  }

  /** Returns the attributes of the request. */
  public RequestAttributes attributes() {
    return attributes;
  }

  /** Returns the route that the request matched. */
  public TrafficRoute route() {
    return route;
  }

  /** Returns the organisation whose key the request carries. */
  public Optional<CallerOrganisation> organisation() {
    return organisation;
  }

  /** Returns the name of the organisation, or an empty text. */
  public String organisationName() {
    return organisation.map(CallerOrganisation::name).orElse("");
  }

  /** Returns the priority of the organisation, else of the route; 0 is the most urgent. */
  public int priority() {
    return organisation
        .map(CallerOrganisation::priority)
        .orElse(OptionalInt.empty())
        .orElse(route.priority());
  }

  /** Returns the grounds of the last decision whether servers have room for the request. */
  public Optional<Assessment> assessment() {
    return assessment;
  }

  /** Forbids that the request waits at this instance any more. */
  public void endWait() {
    mayWait = false;
  }

  /** Returns the name of the service that the request is sent to. */
  public String service() {
    return service;
  }

  /** Returns the length of the request's body. */
  public long bodyBytes() {
    return bodyBytes;
  }

  /** Returns whether the request is an upload whose body is large. */
  boolean isLargeUpload() {
    return route.kind() instanceof RequestKind.Upload && ServerState.isLargeBody(bodyBytes);
  }

  /** Returns the monotonic time at which the request arrived. */
  public long arrivedNanoseconds() {
    return arrivedNanoseconds;
  }

  /** Returns the monotonic time by which the request must have its final answer. */
  public long deadlineNanoseconds() {
    return deadlineNanoseconds;
  }

  /** Returns the version of the configuration under which the request was admitted. */
  public long configurationVersion() {
    return configurationVersion;
  }

  /** Returns the number of sends, without those that certainly did not reach a server. */
  public int sendCount() {
    return sendCount;
  }

  /** Returns whether a server may have run the request or may still run it. */
  public boolean mayHaveRun() {
    return mayHaveRun || pending;
  }

  /** Returns whether both the route and the organisation allow a region. */
  boolean allowsRegion(String region) {
    boolean allowedByRoute =
        route.allowedRegions().isEmpty() || route.allowedRegions().contains(region);
    Set<String> organisationRegions =
        organisation.map(CallerOrganisation::allowedRegions).orElse(Set.of());
    return allowedByRoute
        && (organisationRegions.isEmpty() || organisationRegions.contains(region));
  }

  boolean mayWait() {
    return mayWait;
  }

  /** Returns the server of the last decision as it was known then. */
  Optional<Candidate> candidate() {
    return candidate;
  }

  void recordAssessment(Assessment newAssessment, Candidate newCandidate) {
    assessment = Optional.of(newAssessment);
    candidate = Optional.of(newCandidate);
  }

  boolean hasTried(String server) {
    return triedServers.contains(server);
  }

  /** Returns the rank of the last server among the candidates; 0 is the preferred one. */
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
   * Records that the request was not run by the last server and never will be.
   *
   * @param reachedServer whether the request reached the server
   */
  void recordNotRun(boolean reachedServer) {
    pending = false;
    if (!reachedServer) {
      sendCount--;
    }
  }

  /** Records that the last server may have run the request. */
  void recordUncertainOutcome() {
    pending = false;
    mayHaveRun = true;
  }
}
