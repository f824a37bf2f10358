package org.corianderweir.logic.steering;

import static org.testng.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Random;
import java.util.stream.IntStream;
import org.corianderweir.logic.limits.TokenBucket;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Sends answers of random size over a simulated link and checks that the sent bits stay within its
 * capacity.
 */
public class LinkAccountTest {
  private static final double BITS_PER_SECOND = 1e6;
  private static final double FIRST_ANSWER_BITS = 1_000;
  private static final long ROUND_NANOSECONDS = 1_000_000;
  private static final int ROUND_COUNT = 20_000;
  private static final int IN_FLIGHT_MAXIMUM_COUNT = 10;
  private static final double ANSWER_MAXIMUM_BITS = 40_000;

  @DataProvider
  public static Object[][] seeds() {
    return IntStream.range(0, 10).mapToObj(seed -> new Object[] {seed}).toArray(Object[][]::new);
  }

  @Test(dataProvider = "seeds")
  public void aLinkCarriesNoMoreThanItsCapacity(int seed) {
    assertTrue(carriedBits(seed, true) <= allowedBits(), "seed " + seed);
  }

  @Test
  public void anAccountThatForgetsWhatIsOwedIsCaught() {
    boolean caught =
        IntStream.range(0, 10).anyMatch(seed -> carriedBits(seed, false) > allowedBits());
    assertTrue(caught);
  }

  private static double allowedBits() {
    double seconds = ROUND_COUNT * ROUND_NANOSECONDS / 1e9;
    return BITS_PER_SECOND * (seconds + 1) + IN_FLIGHT_MAXIMUM_COUNT * ANSWER_MAXIMUM_BITS;
  }

  /**
   * Sends as much as the account admits: mostly small answers, one in eight of the largest size.
   *
   * @param settlesDeficit whether the account is told the actual size of large answers
   */
  private static double carriedBits(int seed, boolean settlesDeficit) {
    Random random = new Random(seed);
    TokenBucket bucket = new TokenBucket(BITS_PER_SECOND, BITS_PER_SECOND, BITS_PER_SECOND, 0);
    LinkAccount account = new LinkAccount(bucket::tryConsume, FIRST_ANSWER_BITS);
    Deque<Double> inFlight = new ArrayDeque<>();
    double carried = 0;
    for (int round = 0; round < ROUND_COUNT; round++) {
      long now = round * ROUND_NANOSECONDS;
      double reserved = inFlight.size() < IN_FLIGHT_MAXIMUM_COUNT ? account.tryReserve(now) : -1;
      if (reserved >= 0) {
        inFlight.addLast(reserved);
      }
      if (!inFlight.isEmpty() && random.nextInt(3) > 0) {
        boolean large = random.nextInt(8) == 0;
        double actual = large ? ANSWER_MAXIMUM_BITS : FIRST_ANSWER_BITS * random.nextDouble();
        double released = inFlight.removeFirst();
        account.settle(released, settlesDeficit ? actual : Math.min(actual, FIRST_ANSWER_BITS));
        carried += actual;
      }
    }
    return carried;
  }
}
