package org.corianderweir.bench.report;

import java.util.List;
import java.util.Map;
import org.corianderweir.bench.observer.Verdict;

/**
 * The measures of a run and the verdicts of the checks.
 *
 * @param run description of the run
 * @param kept whether every promise was kept
 * @param verdicts the verdict of each check
 * @param latency time from the intended arrival to the answer, in milliseconds, of answered
 *     requests
 * @param waiting time from the first attempt to the arrival at the backend server, in milliseconds
 * @param requests number of requests that callers sent
 * @param answered number of requests that were answered
 * @param failures number of requests that were not answered, by reason
 * @param wrongfullyRefused number of requests within their organisation's rate that were refused as
 *     exceeding it
 * @param shed number of requests that backend servers refused for lack of slots
 * @param repeated number of attempts that repeat a request
 * @param worstServed the organisation with the smallest answered share, described in words
 * @param organisations result of each organisation and of the open routes
 * @param headroom free share of the slots at peak load, by region and service
 * @param drains time from the accepted drain to the end of the last request, in milliseconds, by
 *     server
 * @param incidents changes by operators and injected faults, with their times
 * @param notes reasons why the run covers less than was planned
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
   * The parameters of the run.
   *
   * @param deployment name of the deployment
   * @param scenario name of the scenario
   * @param seed seed of the load
   * @param baseline whether callers chose random backend servers themselves
   * @param seconds duration of the load
   * @param loadFactor factor by which all demand was multiplied
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
   * The result of an organisation. The empty name stands for the open routes.
   *
   * @param organisation name of the organisation
   * @param requests number of requests that its callers sent
   * @param answered number of requests that were answered
   * @param insideRate number of requests within its rate and burst
   * @param wrongfullyRefused number of those that were refused as exceeding the rate
   * @param failures number of requests that were not answered, by reason
   * @param latency time from the intended arrival to the answer, in milliseconds
   */
  public record OrganisationResult(
      String organisation,
      long requests,
      long answered,
      long insideRate,
      long wrongfullyRefused,
      Map<String, Long> failures,
      LatencySummary latency) {

    /** Returns the answered requests as a share of those within the rate, at most 1. */
    public double answeredShare() {
      return insideRate == 0 ? 1 : Math.min(1, (double) answered / insideRate);
    }
  }
}
