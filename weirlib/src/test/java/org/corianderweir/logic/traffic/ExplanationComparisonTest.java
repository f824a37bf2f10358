package org.corianderweir.logic.traffic;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Optional;
import org.corianderweir.logic.traffic.ExplanationComparison.Aspect;
import org.corianderweir.logic.traffic.ExplanationComparison.Difference;
import org.corianderweir.logic.traffic.ExplanationComparison.Group;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link ExplanationComparison}. */
public class ExplanationComparisonTest {
  private static final RequestExplanation.Limit LIMIT =
      new RequestExplanation.Limit(40, Optional.of(12.0), Optional.of(3), 0.3, false);
  private static final RequestExplanation.Outcome SEND =
      RequestExplanation.Outcome.send("server-1");

  @DataProvider
  public Object[][] explanations() {
    RequestExplanation.Outcome refusal =
        RequestExplanation.Outcome.reject(RejectionReason.NO_SERVER, 250);
    RequestExplanation.Limit usedUp =
        new RequestExplanation.Limit(40, Optional.of(90.0), Optional.of(3), 0.2, true);
    RequestExplanation.Limit otherShare =
        new RequestExplanation.Limit(40, Optional.of(90.0), Optional.of(2), 0.7, false);
    return new Object[][] {
      {explanation("entry-3", "read", 7, SEND, Optional.of(LIMIT)), List.of()},
      {explanation("entry-3", "read", 7, SEND, Optional.of(otherShare)), List.of()},
      {
        explanation("entry-3", "all", 6, SEND, Optional.of(LIMIT)),
        List.of(
            difference(Aspect.ROUTE, "read", "all"),
            difference(Aspect.CONFIGURATION_VERSION, "7", "6"))
      },
      {
        explanation("entry-3", "read", 7, refusal, Optional.of(LIMIT)),
        List.of(
            difference(Aspect.OUTCOME, "send", "reject NO_SERVER"),
            difference(Aspect.FIRST_SERVER, "server-1", "none"))
      },
      {
        explanation(
            "entry-3", "read", 7, RequestExplanation.Outcome.send("server-2"), Optional.of(usedUp)),
        List.of(
            difference(Aspect.FIRST_SERVER, "server-1", "server-2"),
            difference(Aspect.LIMIT, "40.0/s", "40.0/s used up"))
      },
      {
        explanation("entry-3", "read", 7, SEND, Optional.empty()),
        List.of(difference(Aspect.LIMIT, "40.0/s", "none"))
      }
    };
  }

  /** Shares, loads and ages differ always; naming them would hide the differences that matter. */
  @Test(dataProvider = "explanations")
  public void differencesAreNamedWithTheMajorityFirst(
      RequestExplanation third, List<Difference> expected) {
    List<RequestExplanation> explanations =
        List.of(
            explanation("entry-2", "read", 7, SEND, Optional.of(LIMIT)),
            third,
            explanation("entry-1", "read", 7, SEND, Optional.of(LIMIT)));
    assertEquals(ExplanationComparison.differences(explanations), expected);
  }

  /** One explanation, or none, has nothing to differ from. */
  @Test
  public void singleExplanationHasNoDifferences() {
    assertEquals(ExplanationComparison.differences(List.of()), List.of());
    assertEquals(
        ExplanationComparison.differences(
            List.of(explanation("entry-1", "read", 7, SEND, Optional.empty()))),
        List.of());
  }

  private static Difference difference(Aspect aspect, String majority, String other) {
    return new Difference(
        aspect,
        List.of(
            new Group(majority, List.of("entry-1", "entry-2")),
            new Group(other, List.of("entry-3"))));
  }

  private static RequestExplanation explanation(
      String instance,
      String route,
      long version,
      RequestExplanation.Outcome outcome,
      Optional<RequestExplanation.Limit> limit) {
    return new RequestExplanation(
        instance,
        "north",
        version,
        Optional.of(route),
        Optional.of("club"),
        limit,
        Optional.of("safe"),
        Optional.of(1),
        "admitted",
        Optional.of("desk"),
        Optional.empty(),
        Optional.empty(),
        List.of(),
        outcome,
        Optional.of(new RequestExplanation.Basis(version, Optional.of(version))));
  }
}
