package org.corianderweir.logic.steering;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Optional;
import org.corianderweir.logic.steering.grammar.SelectorParser;
import org.corianderweir.model.configuration.AvailabilityZone;
import org.corianderweir.model.configuration.BackendServer;
import org.corianderweir.model.configuration.Label;
import org.corianderweir.model.configuration.LabelCondition;
import org.corianderweir.model.configuration.Region;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link ServerPlace}: inheritance and comparison of labels. */
public class ServerPlaceTest {
  private static final ServerPlace PLACE =
      new ServerPlace(
          new BackendServer(
              "s1", "desk", "z1", "127.0.0.1", 1, 4, 660, false, labels("disk", "fast")),
          Optional.of(new AvailabilityZone("z1", "lagos", labels("tier", "gold", "disk", "slow"))),
          Optional.of(new Region("lagos", 0, labels("tier", "iron", "law", "ng"))));

  private static List<Label> labels(String... namesAndValues) {
    return java.util.stream.IntStream.range(0, namesAndValues.length / 2)
        .mapToObj(index -> new Label(namesAndValues[2 * index], namesAndValues[2 * index + 1]))
        .toList();
  }

  @DataProvider
  public static Object[][] conditions() {
    return new Object[][] {
      {"server = s1", true},
      {"zone = z1", true},
      {"region != lagos", false},
      {"server.disk = fast", true},
      {"zone.disk = slow", true},
      {"server.tier = gold", true},
      {"server.law = ng", true},
      {"zone.law in (us, ng)", true},
      {"region.tier = iron", true},
      {"region.disk = slow", false},
      {"region.disk != slow", true},
      {"server.unknown not in (a, b)", true},
      {"server.unknown in (a, b)", false},
    };
  }

  @Test(dataProvider = "conditions")
  public void comparesTheNearestLabel(String text, boolean expected) {
    List<LabelCondition> conditions =
        SelectorParser.parse("route r path / to service desk where " + text)
            .destinations()
            .getFirst()
            .conditions();
    assertEquals(PLACE.matches(conditions), expected);
  }
}
