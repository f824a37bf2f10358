package org.corianderweir.logic.traffic;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.OptionalLong;
import org.testng.annotations.Test;

/** Tests of {@link ReportPacing}. */
public class ReportPacingTest {
  private static final long INTERVAL = Duration.ofMillis(250).toNanos();

  /** A collector of an older version refuses each message and closes the connection. */
  @Test
  public void collectorThatNeverAnswersGetsFewMessages() {
    ReportPacing pacing = new ReportPacing();
    // One a second for three seconds, then one in ten seconds for the rest of the minute.
    assertEquals(sendFor(pacing, 0, 240), 3 + 5);
    assertTrue(pacing.isLost());
  }

  /** Reports that gather on a link that stands still would arrive older than they say. */
  @Test
  public void nextMessageWaitsForTheAnswerForASecond() {
    ReportPacing pacing = new ReportPacing();
    assertTrue(pacing.maySend("a", 0));
    long first = pacing.recordSent(0);
    assertFalse(pacing.maySend("a", 3 * INTERVAL));
    assertTrue(pacing.maySend("a", 4 * INTERVAL));
    long second = pacing.recordSent(4 * INTERVAL);
    assertEquals(pacing.recordAnswer("a", first), OptionalLong.empty(), "too late");
    assertEquals(pacing.recordAnswer("b", second), OptionalLong.empty(), "of another one");
    assertEquals(pacing.recordAnswer("a", second), OptionalLong.of(4 * INTERVAL));
    assertEquals(pacing.recordAnswer("a", second), OptionalLong.empty(), "twice");
    assertTrue(pacing.maySend("a", 5 * INTERVAL));
  }

  @Test
  public void anotherCollectorIsTriedAtOnce() {
    ReportPacing pacing = new ReportPacing();
    sendFor(pacing, 0, 12);
    assertTrue(pacing.isLost());
    assertFalse(pacing.maySend("a", 12 * INTERVAL));
    assertTrue(pacing.maySend("b", 12 * INTERVAL));
    assertFalse(pacing.isLost());
  }

  private static int sendFor(ReportPacing pacing, int first, int intervalCount) {
    int sent = 0;
    for (int interval = first; interval < first + intervalCount; interval++) {
      if (pacing.maySend("a", interval * INTERVAL)) {
        pacing.recordSent(interval * INTERVAL);
        sent++;
      }
    }
    return sent;
  }
}
