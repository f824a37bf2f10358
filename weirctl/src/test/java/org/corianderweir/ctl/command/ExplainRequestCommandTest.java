package org.corianderweir.ctl.command;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Optional;
import org.corianderweir.logic.admission.Assessment;
import org.corianderweir.logic.traffic.RequestExplanation;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of the text of {@link ExplainRequestCommand}. */
public class ExplainRequestCommandTest {
  @DataProvider
  public Object[][] outcomes() {
    return new Object[][] {
      {
        new RequestExplanation.Outcome(
            "wait",
            Optional.empty(),
            Optional.empty(),
            Optional.empty(),
            Optional.of(75L),
            Optional.empty()),
        "wait, at the latest until 75 ms from now"
      },
      {
        new RequestExplanation.Outcome(
            "reject",
            Optional.empty(),
            Optional.of("NO_ROOM"),
            Optional.of(120L),
            Optional.empty(),
            Optional.of(503)),
        "rejected with 503, NO_ROOM, retry after 120 ms"
      }
    };
  }

  /** The grounds of a request that is not sent although a server accepts it were not shown. */
  @Test(dataProvider = "outcomes")
  public void decisionWhetherServersHaveRoomIsShown(
      RequestExplanation.Outcome outcome, String expected) {
    RequestExplanation explanation =
        new RequestExplanation(
            "entry-1",
            "north",
            7,
            Optional.of("manifest"),
            Optional.of("club"),
            Optional.empty(),
            Optional.of("upload"),
            Optional.of(2),
            "admitted",
            Optional.of("desk"),
            Optional.of(
                new RequestExplanation.Capacity(
                    Assessment.Cause.LONG_WAIT, 900, 400, 100, 0, 0.25)),
            Optional.of("usual candidates"),
            List.of(
                new RequestExplanation.Candidate(
                    "server-1",
                    "north-a",
                    "north",
                    "usable",
                    9,
                    3,
                    2.5,
                    1,
                    0,
                    Optional.of(40L),
                    Optional.of(8.25),
                    false,
                    "lowest expected latency, but the servers have no room for the request")),
            outcome,
            Optional.empty());
    List<String> lines = ExplanationFormatter.lines(explanation);
    assertEquals(
        lines.subList(0, 7),
        List.of(
            "instance entry-1, region north, configuration 7",
            "route: manifest",
            "organisation: club",
            "kind: upload, runs at most once",
            "priority: 2",
            "admission: admitted",
            "service: desk"));
    assertEquals(
        lines.get(7),
        "capacity: LONG_WAIT, answer expected in 900 ms, of which 400 ms wait at the server, "
            + "allowed wait 100 ms, 0.0 free slots, 25.0% of recent answers late by waiting");
    assertEquals(
        lines.get(10).replaceAll(" +", " "),
        "- server-1 north-a usable 9.0 of 3 2.50 1.00 0.00 40 ms 8.25 lowest expected latency, "
            + "but the servers have no room for the request");
    assertEquals(lines.getLast(), "outcome: " + expected);
  }
}
