package org.corianderweir.bench.observer;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.corianderweir.bench.backend.JournalEntry;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that every check passes on the evidence of a correct run and reports each violation that is
 * added to it.
 */
public final class ObserverTest {
  @Test
  public void soundEvidenceKeepsEveryPromise() {
    List<Verdict> broken =
        Observer.judge(EvidenceFixture.sound().build()).stream()
            .filter(verdict -> !verdict.kept())
            .toList();
    assertEquals(broken, List.of());
  }

  @DataProvider
  Object[][] brokenPromises() {
    return new Object[][] {
      {
        "all of a route's traffic in two seconds",
        shareJump(),
        "A shift of traffic stays under its cap",
        "erie moved 1.000 of /bookings in 4 s, allowed 0.600"
      },
      {
        "one more than rate and burst in 100 ms",
        burst(5),
        "No organisation gets more than its rate and burst across all instances together",
        "club: 5 requests in 0.101 s, allowed 4.0"
      },
      {
        "a key at a backend server",
        soundEvidence().entry("r1", "club", true, JournalEntry.Outcome.ANSWERED, 102, 150),
        "No backend server sees a key",
        "hall-1 saw the key of request r1"
      },
      {
        "another organisation",
        soundEvidence()
            .answered("r9", 400)
            .entry("r9", "green", false, JournalEntry.Outcome.ANSWERED, 401, 450),
        "A request runs only for the organisation whose key came with it",
        "request r9 of 'club' ran for 'green' on hall-1"
      },
      {
        "no organisation on a keyed route",
        soundEvidence().entry("r9", "", false, JournalEntry.Outcome.ANSWERED, 401, 450),
        "A request runs only with a key, except on routes open to all",
        "request r9 ran without an organisation"
      },
      {
        "a withdrawn key",
        soundEvidence().answered("r9", 6_100).ran("r9", 6_101, 6_150),
        "A withdrawn key stops working within seconds",
        "request r9 ran on hall-1 5.1 s after the withdrawal"
      },
      {
        "two runs",
        soundEvidence().ran("r1", 160, 170),
        "A non-idempotent request runs at most once",
        "request r1 ran 2 times: hall-1, hall-1"
      },
      {
        "a false not-run",
        soundEvidence().ran("r2", 201, 250),
        "A refusal that says \"not run\" is true",
        "request r2 ran, but entry-1 said no-capacity not-run"
      },
      {
        "the answer to another request",
        soundEvidence().answeredWith("r9", 400, "r1", "club").ran("r9", 401, 450),
        "A caller gets the whole answer to its own request",
        "request r9 got the answer to 'r1' of 'club'"
      },
      {
        "half an answer",
        soundEvidence().answeredWith("r9", 400, "", "").ran("r9", 401, 450),
        "A caller gets the whole answer to its own request",
        "request r9 got the answer to '' of ''"
      },
      {
        "an answer from nowhere",
        soundEvidence().answered("r9", 400),
        "Every answer comes from a run",
        "request r9 was answered and never ran"
      },
      {
        "work for a drained server",
        soundEvidence().shed("r9", 4_100),
        "A leaving backend server gets no new work after a few seconds",
        "request r9 reached hall-1 3100 ms after its drain"
      },
      {
        "a request cut by a stop",
        soundEvidence().lost("r9", 1_100),
        "Every planned stop is a graceful shutdown that cuts no request",
        "request r9 at entry-1: LOST , 160 ms after the stop began"
      },
      {
        "an exit status",
        soundEvidence().incident(new Incident.InstanceStopped("entry-2", 0, 1, 7)),
        "Every planned stop is a graceful shutdown that cuts no request",
        "entry-2 ended with exit status 7"
      },
      {
        "an older revision",
        soundEvidence().revision(1, 1, 9_500).revision(1, 2, 9_600),
        "An accepted configuration never reverts",
        "entry-1 went from revision 2 to 1"
      },
      {
        "a revision that is not in force",
        soundEvidence().revision(2, 1, 6_100),
        "An accepted configuration is in force everywhere within seconds",
        "entry-1 had revision 1 in force 5100 ms after 2 was accepted"
      },
      {
        "more than the region's slots",
        soundEvidence().ran("r7", 500, 600).ran("r8", 510, 600).shed("r9", 520),
        "No steering decision overloads a region",
        "request r9 reached region erie with 3 requests at 2 slots of hall"
      },
      {
        "more than the link's capacity in a second",
        soundEvidence().traffic(2_000, 100_000).traffic(2_900, 100_000),
        "No steering decision overloads a link",
        "erie to huron carried 1.6 Mbit in a second, allowed 1.0"
      },
    };
  }

  @Test(dataProvider = "brokenPromises")
  public void brokenEvidenceIsNoticed(
      String name, EvidenceFixture evidence, String promise, String violation) {
    Verdict verdict =
        Observer.judge(evidence.build()).stream()
            .filter(each -> each.promise().equals(promise))
            .findFirst()
            .orElseThrow();
    assertEquals(
        new Verdict(promise, verdict.cases(), verdict.violations(), verdict.violationCount()),
        new Verdict(promise, verdict.cases(), List.of(violation), 1));
  }

  @Test
  public void anInstanceThatWasCutOffIsExcused() {
    EvidenceFixture evidence =
        soundEvidence()
            .revision(2, 1, 6_100)
            .incident(
                new Incident.InstanceExcused(
                    EvidenceFixture.INSTANCE,
                    EvidenceFixture.nanoseconds(900),
                    EvidenceFixture.nanoseconds(6_000)));
    assertEquals(ConfigurationChecks.isInForce(evidence.build()).kept(), true);
  }

  private static EvidenceFixture soundEvidence() {
    return EvidenceFixture.sound();
  }

  /** Sends 50 requests to a server outside the region erie, then 50 to the server in erie. */
  private static EvidenceFixture shareJump() {
    EvidenceFixture evidence =
        new EvidenceFixture()
            .incident(
                new Incident.ShiftStarted("/bookings", 0.05, EvidenceFixture.nanoseconds(4_000)));
    for (int number = 0; number < 50; number++) {
      evidence.ranElsewhere("e" + number, 100 + number).ran("h" + number, 2_100 + number, 2_200);
    }
    return evidence;
  }

  private static EvidenceFixture burst(int count) {
    EvidenceFixture evidence = new EvidenceFixture();
    for (int number = 0; number < count; number++) {
      evidence.answered("b" + number, 1_000).ran("b" + number, 1_101, 1_150);
    }
    return evidence;
  }
}
