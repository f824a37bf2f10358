package org.corianderweir.logic.traffic;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link SlidingWindowCounter}. */
public class SlidingWindowCounterTest {
  private static final long WINDOW = 1_000;
  private static final int BUCKETS = 10;

  @DataProvider
  public Object[][] seeds() {
    return new Object[][] {{1L}, {2L}, {3L}};
  }

  /** The count covers the bucket of the present and as many before as the window has. */
  @Test(dataProvider = "seeds")
  public void countsTheEventsOfTheWindow(long seed) {
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    SlidingWindowCounter counter = new SlidingWindowCounter(WINDOW, BUCKETS);
    List<Long> events = new ArrayList<>();
    long bucketLength = WINDOW / BUCKETS;
    long now = -5_000;
    for (int step = 0; step < 2_000; step++) {
      now += random.nextInt(20) == 0 ? random.nextLong(3 * WINDOW) : random.nextLong(60);
      if (random.nextBoolean()) {
        counter.add(now);
        events.add(now);
      }
      long firstBucket = Math.floorDiv(now, bucketLength) - BUCKETS;
      long expected =
          events.stream()
              .filter(event -> Math.floorDiv(event, bucketLength) >= firstBucket)
              .count();
      assertEquals(counter.count(now), expected, "step " + step);
      assertEquals(counter.copy().count(now), expected, "copy at step " + step);
    }
  }
}
