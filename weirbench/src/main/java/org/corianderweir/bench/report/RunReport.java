package org.corianderweir.bench.report;

import java.util.List;
import java.util.Map;
import org.corianderweir.bench.observer.Verdict;

/**
 * What a run measured and whether the promises were kept.
 *
 * @param run what was run
 * @param kept whether every promise was kept
 * @param verdicts the verdict of each check
 * @param latency time from the intended arrival to the answer, in milliseconds, of answered
 *     requests
 * @param waiting time from sending to arrival at the backend server, in milliseconds
 * @param requests requests that arrived
 * @param answered requests that were answered
 * @param failures requests that were not, by reason
 * @param wrongfullyRefused requests refused for their rate that were inside it
 * @param shed requests that backend servers refused for want of slots
 * @param repeated attempts after the first
 * @param worstServed the organisation that fared worst
 * @param organisations how each organisation fared
 * @param headroom part of a region's slots for a service that was free at the busiest moment
 * @param drains time from the accepted drain to the last request's end, in milliseconds
 * @param incidents what happened
 * @param notes what makes the run say less than it should
 */
public record RunReport(
    RunDescription run,
    boolean kept,
    List<Verdict> verdicts,
    LatencySummary latency,
    LatencySummary waiting,
    long requests,
    long answered,
    Map<String, Long> failures,
    long wrongfullyRefused,
    long shed,
    long repeated,
    String worstServed,
    List<OrganisationResult> organisations,
    Map<String, Double> headroom,
    Map<String, Double> drains,
    List<String> incidents,
    List<String> notes) {

  /**
   * What was run.
   *
   * @param deployment name of the deployment
   * @param scenario name of the scenario
   * @param seed seed of the load
   * @param baseline whether callers chose random backend servers themselves
   * @param seconds how long load arrived
   * @param loadFactor factor of all demand
   * @param entryInstances number of entry instances
   * @param backendServers number of backend servers
   */
  public record RunDescription(
      String deployment,
      String scenario,
      long seed,
      boolean baseline,
      double seconds,
      double loadFactor,
      int entryInstances,
      int backendServers) {}

  /**
   * How an organisation fared; the one with the empty name stands for the open routes.
   *
   * @param organisation name
   * @param requests requests that arrived
   * @param answered requests that were answered
   * @param insideRate requests that were inside its rate and burst
   * @param wrongfullyRefused those of them that were refused for their rate
   * @param failures requests that were not answered, by reason
   * @param latency time to the answer in milliseconds
   */
  public record OrganisationResult(
      String organisation,
      long requests,
      long answered,
      long insideRate,
      long wrongfullyRefused,
      Map<String, Long> failures,
      LatencySummary latency) {

    /** Returns the answered part of what was inside the rate. */
    public double answeredShare() {
      return insideRate == 0 ? 1 : Math.min(1, (double) answered / insideRate);
    }
  }
}
