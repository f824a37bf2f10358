package org.corianderweir.logic.traffic;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.corianderweir.model.traffic.TrafficRoute;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link TrafficIndex}. */
public class TrafficIndexTest {
  private final TrafficIndex index =
      new TrafficIndex(
          TrafficFixture.configuration(
              1,
              List.of(
                  TrafficFixture.route("a", true, Set.of()),
                  TrafficFixture.route("a/b", true, Set.of()))));

  @DataProvider
  public Object[][] paths() {
    return new Object[][] {
      {"rota.example", "/a/x", Optional.of("a")},
      {"ROTA.example:80", "/a/x", Optional.of("a")},
      {"rota.example", "/a/", Optional.of("a")},
      {"rota.example", "/a/b/c/d", Optional.of("a/b")},
      {"rota.example", "/a/bc", Optional.of("a")},
      {"rota.example", "/a", Optional.empty()},
      {"rota.example", "/", Optional.empty()},
      {"rota.example", "", Optional.empty()},
      {"other.example", "/a/x", Optional.empty()}
    };
  }

  @Test(dataProvider = "paths")
  public void theLongestPrefixSelects(String host, String path, Optional<String> name) {
    assertEquals(index.route(host, path).map(TrafficRoute::name), name);
  }
}
