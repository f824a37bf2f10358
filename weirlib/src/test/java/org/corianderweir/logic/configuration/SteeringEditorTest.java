package org.corianderweir.logic.configuration;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import java.util.List;
import java.util.Optional;
import org.corianderweir.logic.steering.grammar.SelectorParser;
import org.corianderweir.model.WeirException;
import org.corianderweir.model.configuration.AvailabilityZone;
import org.corianderweir.model.configuration.Configuration;
import org.corianderweir.model.configuration.Destination;
import org.corianderweir.model.configuration.DestinationShare;
import org.corianderweir.model.configuration.Label;
import org.corianderweir.model.configuration.LabelScope;
import org.corianderweir.model.configuration.Organisation;
import org.corianderweir.model.configuration.Region;
import org.corianderweir.model.configuration.Selector;
import org.corianderweir.model.configuration.Shift;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link SteeringEditor}, {@link LabelEditor} and {@link OrganisationEditor}. */
public class SteeringEditorTest {
  private static final long NOW = 1_000;
  private static final String OTHER_ZONE = "route sub path /a/b to service desk where zone = z2";
  private static final Organisation HURON = new Organisation("huron", 10, 5, 0);
  private static final Selector ALL = selector("route all path /a to service desk");
  private static final Configuration BEFORE =
      Configuration.builder()
          .revision(7)
          .regions(List.of(new Region("lagos", 0, List.of())))
          .zones(
              List.of(
                  new AvailabilityZone("z1", "lagos", List.of()),
                  new AvailabilityZone("z2", "lagos", List.of())))
          .organisations(List.of(HURON))
          .selectors(List.of(ALL))
          .build();

  private static Selector selector(String text) {
    return SelectorParser.parse(text);
  }

  private static Configuration apply(Configuration current, ConfigurationChange change) {
    return ConfigurationEditor.apply(current, change, "operation");
  }

  private static Selector shifting(Selector requested, long start) {
    Shift shift =
        new Shift(
            start,
            false,
            List.of(new DestinationShare(List.of(), 1)),
            List.of(Destination.ANYWHERE));
    return requested.toBuilder().shift(Optional.of(shift)).build();
  }

  @DataProvider
  public static Object[][] changes() {
    Selector sub = selector(OTHER_ZONE);
    Configuration.Builder after = BEFORE.toBuilder().revision(8).operation("operation");
    Configuration labelled =
        after.regions(List.of(new Region("lagos", 0, List.of(new Label("tier", "gold"))))).build();
    Configuration plain = BEFORE.toBuilder().revision(8).operation("operation").build();
    return new Object[][] {
      {
        new SteeringChange.SetSelector(sub, NOW),
        plain.toBuilder().selectors(List.of(ALL, shifting(sub, NOW))).build()
      },
      {
        new SteeringChange.SetSelector(ALL.toBuilder().concurrency(3).build(), NOW),
        plain.toBuilder().selectors(List.of(ALL.toBuilder().concurrency(3).build())).build()
      },
      {
        new SteeringChange.RemoveSelector("all", NOW),
        plain.toBuilder().selectors(List.of()).build()
      },
      {
        new SteeringChange.SetLabel(LabelScope.REGION, "lagos", new Label("tier", "gold")), labelled
      },
      {
        new OrganisationChange.SetOrganisation(new Organisation("huron", 20, 5, 0)),
        plain.toBuilder().organisations(List.of(new Organisation("huron", 20, 5, 0))).build()
      },
      {
        new OrganisationChange.RemoveOrganisation("huron"),
        plain.toBuilder().organisations(List.of()).build()
      },
    };
  }

  @Test(dataProvider = "changes")
  public void appliesAChange(ConfigurationChange change, Configuration expected) {
    assertEquals(apply(BEFORE, change), expected);
  }

  @Test
  public void aReplacementShiftsFromWhereTheTrafficIs() {
    Selector requested = selector("route all path /a to service desk where zone = z2");
    Configuration replacement =
        BEFORE.toBuilder().selectors(List.of(requested, selector(OTHER_ZONE))).build();
    assertEquals(
        SteeringEditor.planReplacement(BEFORE, replacement, NOW).selectors(),
        List.of(shifting(requested, NOW), shifting(selector(OTHER_ZONE), NOW)));
  }

  @DataProvider
  public static Object[][] refusedChanges() {
    return new Object[][] {
      {new SteeringChange.RemoveSelector("x", NOW), "no selector x"},
      {
        new SteeringChange.PauseShift("all", NOW),
        "the shift of selector all is not under way; its traffic is where the selector says"
      },
      {
        new SteeringChange.TurnBackShift("all", NOW),
        "the shift of selector all does not exist; set the selector"
      },
      {new SteeringChange.RemoveLabel(LabelScope.ZONE, "z1", "tier"), "zone z1 has no label tier"},
      {
        new SteeringChange.SetLabel(LabelScope.SERVER, "s", new Label("tier", "gold")),
        "no server s"
      },
      {new OrganisationChange.RemoveOrganisation("erie"), "no organisation erie"},
    };
  }

  @Test(dataProvider = "refusedChanges")
  public void refusesAChange(ConfigurationChange change, String message) {
    WeirException failure = expectThrows(WeirException.class, () -> apply(BEFORE, change));
    assertEquals(failure.getMessage(), message);
  }

  @Test
  public void aSelectorWhoseTrafficWouldJumpIsNotRemoved() {
    Configuration both = apply(BEFORE, new SteeringChange.SetSelector(selector(OTHER_ZONE), NOW));
    WeirException failure =
        expectThrows(
            WeirException.class,
            () -> apply(both, new SteeringChange.RemoveSelector("sub", NOW + 10_000)));
    assertEquals(
        failure.getMessage(),
        "without selector sub its traffic would jump to the destinations of all;"
            + " set the same destinations first and let the shift end");
  }
}
