package org.corianderweir.logic.limits;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests of the previews of {@link AdmissionController} and {@link ConcurrencyPermits}. */
public class AdmissionPreviewTest {
  private static final long NOW = 1_000_000_000L;
  private static final long DEADLINE = NOW + 1_000_000_000L;

  /** A preview that consumed a token, or counted as demand, would change what callers get. */
  @Test
  public void previewAgreesWithTheDecisionAndUsesNothing() {
    SliceBucket bucket = new SliceBucket(NOW);
    bucket.setOwnAllowance(new Allowance(1, 2), NOW);
    bucket.renewOwnAllowance(Long.MAX_VALUE, NOW);
    AdmissionController controller = new AdmissionController(bucket, 1);
    long later = NOW + 4_000_000_000L;
    for (int admitted = 0; admitted < 2; admitted++) {
      for (int repeated = 0; repeated < 10; repeated++) {
        assertEquals(controller.preview(later, later), new AdmissionPreview.Admitted());
      }
      assertTrue(controller.tryAdmit(later));
    }
    assertEquals(controller.preview(later, later), new AdmissionPreview.Queued());
    assertFalse(controller.tryAdmit(later));
    assertTrue(controller.tryEnqueue(decision -> {}, later, later));
    assertEquals(
        controller.preview(later, later),
        new AdmissionPreview.Refused(controller.retryAfterMilliseconds()));
    assertEquals(controller.queueLength(), 1);
  }

  /** A preview that counted an unmet request would make the instance borrow permits. */
  @Test
  public void availabilityOfPermitsIsNotCounted() {
    ConcurrencyPermits previewed = permits();
    ConcurrencyPermits plain = permits();
    assertTrue(previewed.isAvailable(DEADLINE, NOW));
    assertTrue(previewed.tryAcquire(DEADLINE, NOW) && plain.tryAcquire(DEADLINE, NOW));
    assertFalse(previewed.isAvailable(DEADLINE, NOW));
    assertEquals(previewed.measureDemandBalance(NOW), plain.measureDemandBalance(NOW));
  }

  private static ConcurrencyPermits permits() {
    ConcurrencyPermits permits = new ConcurrencyPermits();
    permits.setOwnAllowance(new Allowance(0, 1), NOW);
    permits.renewOwnAllowance(Long.MAX_VALUE, NOW);
    return permits;
  }
}
