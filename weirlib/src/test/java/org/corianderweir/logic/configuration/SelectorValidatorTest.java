package org.corianderweir.logic.configuration;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.corianderweir.logic.configuration.ConfigurationProblem.Type;
import org.corianderweir.logic.steering.grammar.SelectorParser;
import org.corianderweir.model.configuration.AvailabilityZone;
import org.corianderweir.model.configuration.BackendServer;
import org.corianderweir.model.configuration.Configuration;
import org.corianderweir.model.configuration.Organisation;
import org.corianderweir.model.configuration.Selector;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link SelectorValidator} by way of {@link ConfigurationValidator}. */
public class SelectorValidatorTest {
  private static final Configuration VALID =
      Configuration.builder()
          .zones(List.of(new AvailabilityZone("z1", "lagos", List.of())))
          .organisations(List.of(new Organisation("huron", 10, 5, 0)))
          .backendServers(
              List.of(
                  new BackendServer("s1", "desk", "z1", "127.0.0.1", 80, 4, 660, false, List.of())))
          .build();

  private static Selector selector(String rest) {
    return SelectorParser.parse("route x path /x to service desk " + rest);
  }

  @DataProvider
  public static Object[][] selectors() {
    Selector plain = selector("");
    return new Object[][] {
      {plain, List.of()},
      {selector("where zone = z1 and region = lagos and server.any != x weight 2"), List.of()},
      {selector("where region = erie"), problem(Type.REGION_UNKNOWN, "no region erie")},
      {selector("where zone in (z1, z2)"), problem(Type.ZONE_UNKNOWN, "no zone z2")},
      {selector("where server != s2"), problem(Type.SERVER_UNKNOWN, "no server s2")},
      {
        selector("weight 0"),
        problem(Type.DESTINATION_INVALID, "at least one needs a weight above zero")
      },
      {
        plain.toBuilder().destinations(List.of()).build(),
        List.of(
            new ConfigurationProblem(
                Type.VALUE_MALFORMED, "selector x", "it can't be written as text"),
            new ConfigurationProblem(
                Type.DESTINATION_INVALID, "selector x", "0 destinations; allowed: 1 to 32"))
      },
      {
        plain.toBuilder().open(true).organisations(List.of("huron")).build(),
        problem(Type.VALUE_MALFORMED, "an open route can't be for named organisations")
      },
      {
        plain.toBuilder().capPerSecond(2).build(),
        problem(
            Type.VALUE_MALFORMED,
            "selector, line 1, column 46: read '200'; allowed: a percentage above 0 up to 100")
      },
    };
  }

  private static List<ConfigurationProblem> problem(Type type, String detail) {
    return List.of(new ConfigurationProblem(type, "selector x", detail));
  }

  @Test(dataProvider = "selectors")
  public void findsWhatIsWrongWithASelector(
      Selector selector, List<ConfigurationProblem> expected) {
    Configuration configuration = VALID.toBuilder().selectors(List.of(selector)).build();
    assertEquals(ConfigurationValidator.validate(configuration), expected);
  }
}
