package org.corianderweir.logic.steering.explain;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.corianderweir.logic.configuration.ConfigurationEditor;
import org.corianderweir.logic.configuration.SteeringChange;
import org.corianderweir.logic.steering.CellConditionEvaluator;
import org.corianderweir.logic.steering.SteeringTable;
import org.corianderweir.logic.steering.SteeringTracker;
import org.corianderweir.logic.steering.explain.DryRunReport.PlannedShift;
import org.corianderweir.logic.steering.explain.DryRunReport.ZoneShares;
import org.corianderweir.logic.steering.explain.Explanation.Candidate;
import org.corianderweir.logic.steering.explain.Explanation.Stage;
import org.corianderweir.logic.steering.grammar.SelectorParser;
import org.corianderweir.model.configuration.AvailabilityZone;
import org.corianderweir.model.configuration.BackendServer;
import org.corianderweir.model.configuration.Configuration;
import org.corianderweir.model.configuration.Label;
import org.corianderweir.model.configuration.Link;
import org.corianderweir.model.configuration.Organisation;
import org.corianderweir.model.configuration.Region;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link SteeringExplainer} and {@link DryRun}. */
public class SteeringExplainerTest {
  private static final CellConditionEvaluator.ServerView HALF_LOADED =
      server ->
          new CellConditionEvaluator.ServerCondition(
              !server.name().equals("dead"), true, true, 0.5);
  private static final Configuration CONFIGURATION =
      Configuration.builder()
          .revision(4)
          .regions(List.of(new Region("erie", 0, List.of()), new Region("huron", 3, List.of())))
          .links(List.of(new Link("huron", "erie", 4_000)))
          .zones(
              List.of(
                  new AvailabilityZone("e1", "erie", List.of(new Label("tier", "gold"))),
                  new AvailabilityZone("h1", "huron", List.of())))
          .organisations(List.of(new Organisation("club", 10, 5, 0)))
          .backendServers(
              List.of(
                  server("a", "desk", "e1", false),
                  server("dead", "desk", "e1", false),
                  server("b", "desk", "h1", false),
                  server("gone", "desk", "e1", true),
                  server("c", "hall", "e1", false)))
          .selectors(
              List.of(
                  SelectorParser.parse(
                      "route rota path /rota for organisation in (club) to service desk"
                          + " where zone.tier = gold"),
                  SelectorParser.parse("route all path / to service hall open")))
          .build();

  private static BackendServer server(String name, String service, String zone, boolean drained) {
    return new BackendServer(name, service, zone, "127.0.0.1", 1, 4, 660, drained, List.of());
  }

  private static Explanation explain(String path, Optional<String> organisation) {
    SteeringTracker tracker = new SteeringTracker("erie", 0);
    tracker.applyConfiguration(CONFIGURATION, 0);
    SteeringTable table = tracker.step(HALF_LOADED, 0, 0);
    return new SteeringExplainer(CONFIGURATION, table, HALF_LOADED, 0).explain(path, organisation);
  }

  private static Stage stage(String name, Candidate... candidates) {
    return new Stage(name, List.of(candidates));
  }

  @Test
  public void namesEachStageAndWhyCandidatesFallOut() {
    Explanation expected =
        new Explanation(
            4,
            "answered by one of the backend servers that are left",
            List.of(
                stage(
                    "selector",
                    new Candidate("rota", true, "the path begins with /rota"),
                    new Candidate(
                        "all",
                        false,
                        "the path begins with /, but another selector has a longer prefix")),
                stage("organisation", new Candidate("club", true, "the route is for club")),
                stage(
                    "destination",
                    new Candidate(
                        "zone.tier = gold", true, "100.0% of the traffic, to become 100.0%")),
                stage(
                    "eligible backend server",
                    new Candidate("a", true, "runs the service and matches a destination"),
                    new Candidate("dead", true, "runs the service and matches a destination"),
                    new Candidate("b", false, "zone.tier = gold does not hold (absent)"),
                    new Candidate("gone", false, "is drained"),
                    new Candidate("c", false, "runs service hall")),
                stage(
                    "region and zone",
                    new Candidate(
                        "e1 (zone.tier = gold)",
                        true,
                        "100.0% of the traffic here, to become 100.0%; ready for more")),
                stage(
                    "backend server",
                    new Candidate("a", true, "healthy, 50% of its slots in use"),
                    new Candidate("dead", false, "can't be reached"))));
    assertEquals(explain("/rota/1", Optional.of("club")), expected);
  }

  @DataProvider
  public static Object[][] refusedRequests() {
    return new Object[][] {
      {Optional.of("other"), "refused, not run: the route is not for this caller"},
      {Optional.empty(), "refused, not run: the route is not for this caller"},
    };
  }

  @Test(dataProvider = "refusedRequests")
  public void endsWhereTheRequestIsRefused(Optional<String> organisation, String outcome) {
    assertEquals(explain("/rota", organisation).outcome(), outcome);
  }

  @Test
  public void aDryRunShowsTheShiftAndItsProblems() {
    SteeringChange change =
        new SteeringChange.SetSelector(
            SelectorParser.parse(
                "route rota path /rota for organisation in (club) to service desk"
                    + " where zone = h1"),
            0);
    Configuration after = ConfigurationEditor.apply(CONFIGURATION, change, "operation");
    DryRunReport expected =
        new DryRunReport(
            4,
            List.of(
                new PlannedShift(
                    "rota",
                    1,
                    0.05,
                    20,
                    List.of(
                        new ZoneShares("erie", "erie", "e1", 1, 0, 0),
                        new ZoneShares("erie", "huron", "h1", 0, 1, 4),
                        new ZoneShares("huron", "erie", "e1", 1, 0, 0),
                        new ZoneShares("huron", "huron", "h1", 0, 1, 4)))),
            List.of(
                "selector rota: traffic from erie would go to huron,"
                    + " but there is no link between them",
                "selector rota: zone h1 would run 8 requests at the present traffic"
                    + " and has room for 4",
                "selector rota: region huron would run 8 requests at the present traffic"
                    + " and has room for 3"));
    assertEquals(DryRun.report(CONFIGURATION, after, HALF_LOADED, 0), expected);
  }

  @Test
  public void aDryRunWarnsOfTrafficThatLosesItsServers() {
    Configuration after =
        CONFIGURATION.toBuilder()
            .backendServers(
                Stream.concat(
                        CONFIGURATION.backendServers().stream()
                            .filter(server -> !server.availabilityZone().equals("e1")),
                        Stream.of(server("c", "hall", "e1", false)))
                    .toList())
            .build();
    List<String> expected =
        List.of(
            "selector rota: 100.0% of the traffic from erie loses its servers at once and waits"
                + " or is refused until it has moved, up to 20.0 s; shift it away first",
            "selector rota: 100.0% of the traffic from huron loses its servers at once and waits"
                + " or is refused until it has moved, up to 20.0 s; shift it away first",
            "selector rota: no backend server matches a destination");
    assertEquals(DryRun.report(CONFIGURATION, after, HALF_LOADED, 0).problems(), expected);
  }
}
