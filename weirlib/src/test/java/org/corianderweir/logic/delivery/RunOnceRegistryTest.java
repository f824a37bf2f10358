package org.corianderweir.logic.delivery;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link RunOnceRegistry}. */
public class RunOnceRegistryTest {
  private static final int STEPS = 2_000;
  private static final int LIFETIME_MILLISECONDS = 50;

  /** The operations of a registry that the generated histories use. */
  private interface RegistryUnderTest {
    boolean mayRun(RequestIdentifier identifier, long now);

    void release(RequestIdentifier identifier);
  }

  @Test
  public void claimReflectsRecordedOutcomes() {
    RunOnceRegistry<String> registry = new RunOnceRegistry<>(1);
    List<Object> claims = new ArrayList<>();
    claims.add(registry.claim(identifier(1, 10), "a", 0, () -> "first"));
    claims.add(registry.claim(identifier(1, 10), "a", 1, () -> "second"));
    claims.add(registry.claim(identifier(1, 10), "b", 1, () -> "third"));
    claims.add(registry.claim(identifier(2, 20), "a", 1, () -> "fourth"));
    registry.release(identifier(1, 10));
    claims.add(registry.claim(identifier(1, 10), "a", 2, () -> "fifth"));
    claims.add(registry.claim(identifier(2, 20), "a", 10, () -> "sixth"));
    claims.add(registry.claim(identifier(1, 10), "a", 2, () -> "paused"));
    assertEquals(
        claims,
        List.of(
            new Claim.Granted<>("first"),
            new Claim.Duplicate<>("first"),
            new Claim.ContentMismatch<>(),
            new Claim.CapacityExceeded<>(),
            new Claim.Granted<>("fifth"),
            new Claim.Granted<>("sixth"),
            new Claim.Expired<>()));
  }

  @DataProvider
  public Object[][] seeds() {
    return new Object[][] {{11L}, {12L}, {13L}, {14L}, {15L}};
  }

  @Test(dataProvider = "seeds")
  public void nothingRunsTwice(long seed) {
    RunOnceRegistry<String> registry = new RunOnceRegistry<>(20);
    RegistryUnderTest tested =
        new RegistryUnderTest() {
          @Override
          public boolean mayRun(RequestIdentifier identifier, long now) {
            return registry.claim(identifier, "", now, () -> "") instanceof Claim.Granted<String>;
          }

          @Override
          public void release(RequestIdentifier identifier) {
            registry.release(identifier);
          }
        };
    assertEquals(countDuplicateRuns(tested, seed), 0, "seed " + seed);
  }

  /**
   * Uses a deliberately broken variant, which removes entries by the time of the calling thread
   * alone, so that a paused thread can run a request again.
   */
  @Test(dataProvider = "seeds")
  public void theCheckFindsRegistryThatForgetsTooEarly(long seed) {
    Map<Long, Long> expiryByNumber = new HashMap<>();
    RegistryUnderTest broken =
        new RegistryUnderTest() {
          @Override
          public boolean mayRun(RequestIdentifier identifier, long now) {
            expiryByNumber.values().removeIf(expiry -> expiry <= now);
            return identifier.expiresMilliseconds() > now
                && expiryByNumber.put(identifier.number(), identifier.expiresMilliseconds())
                    == null;
          }

          @Override
          public void release(RequestIdentifier identifier) {
            expiryByNumber.remove(identifier.number());
          }
        };
    assertEquals(countDuplicateRuns(broken, seed) > 0, true, "seed " + seed);
  }

  /**
   * Repeats requests at random, also from threads that were paused and pass an old time; returns
   * how many requests ran more than once.
   */
  private static int countDuplicateRuns(RegistryUnderTest registry, long seed) {
    Random random = new Random(seed);
    Map<Long, Integer> runs = new HashMap<>();
    for (int now = 0; now < STEPS; now++) {
      long number = Math.max(1, now - random.nextInt(3 * LIFETIME_MILLISECONDS));
      RequestIdentifier identifier = identifier(number, number + LIFETIME_MILLISECONDS);
      long pausedSince = random.nextInt(4) == 0 ? random.nextInt(3 * LIFETIME_MILLISECONDS) : 0;
      if (registry.mayRun(identifier, now - pausedSince)) {
        if (random.nextInt(3) == 0) {
          registry.release(identifier);
        } else {
          runs.merge(number, 1, Integer::sum);
        }
      }
    }
    return (int) runs.values().stream().filter(count -> count > 1).count();
  }

  private static RequestIdentifier identifier(long number, long expires) {
    return new RequestIdentifier("entry", 1, number, expires, "");
  }
}
