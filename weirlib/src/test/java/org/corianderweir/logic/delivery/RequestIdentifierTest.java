package org.corianderweir.logic.delivery;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.Optional;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link RequestIdentifier} and {@link IdentifierIssuer}. */
public class RequestIdentifierTest {
  private static final IdentifierIssuer ISSUER =
      new IdentifierIssuer("entry.1-é", 7, new byte[] {1}, Duration.ofMillis(100), 0);
  private static final RequestIdentifier ISSUED = ISSUER.issue(0);
  private static final long MILLISECOND_NANOSECONDS = 1_000_000L;

  @Test
  public void parsesOwnText() {
    assertEquals(RequestIdentifier.parse(ISSUED.text()), Optional.of(ISSUED));
  }

  @DataProvider
  public Object[][] malformed() {
    return new Object[][] {
      {""},
      {"order-17"},
      {"weir1."},
      {"weir1.a.b.c.d"},
      {ISSUED.text() + ".x"},
      {ISSUED.text().replace("weir1", "weir2")},
      {"weir1.*.1.1.1.x"},
      {"weir1.YQ.1.zzzzzzzzzzzzzzzzzzzzzz.1.x"},
      {"weir1.YQ.01.1.1.x"},
      {"weir1.YQ.1.1.1." + "x".repeat(600)}
    };
  }

  @Test(dataProvider = "malformed")
  public void rejectsMalformedText(String text) {
    assertEquals(RequestIdentifier.parse(text), Optional.empty());
  }

  @DataProvider
  public Object[][] identifiers() {
    RequestIdentifier longer =
        new RequestIdentifier(ISSUED.instance(), 7, 1, 1_000_000, ISSUED.authenticationCode());
    RequestIdentifier earlier = new RequestIdentifier(ISSUED.instance(), 6, 1, 100, "");
    RequestIdentifier elsewhere =
        new RequestIdentifier("entry-2", 7, 1, 100, ISSUED.authenticationCode());
    return new Object[][] {
      {ISSUED, 0L, new IdentifierDecision.Own()},
      {ISSUED, 99 * MILLISECOND_NANOSECONDS, new IdentifierDecision.Own()},
      {ISSUED, 100 * MILLISECOND_NANOSECONDS, new IdentifierDecision.Expired()},
      {longer, 0L, new IdentifierDecision.Forged()},
      {earlier, 0L, new IdentifierDecision.Foreign()},
      {elsewhere, 0L, new IdentifierDecision.Foreign()}
    };
  }

  @Test(dataProvider = "identifiers")
  public void issuerRecognisesItsOwn(
      RequestIdentifier identifier, long now, IdentifierDecision expected) {
    assertEquals(ISSUER.verify(identifier, now), expected);
  }
}
