package org.corianderweir.logic.steering;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;
import org.corianderweir.model.WeirException;
import org.corianderweir.model.configuration.Destination;
import org.corianderweir.model.configuration.DestinationShare;
import org.corianderweir.model.configuration.LabelCondition;
import org.corianderweir.model.configuration.LabelScope;
import org.corianderweir.model.configuration.Selector;
import org.corianderweir.model.configuration.Shift;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Applies random sequences of operator changes to a selector and checks that its shares never move
 * faster than the cap.
 */
public class ShiftPlannerTest {
  private static final int CHANGE_COUNT = 200;
  private static final int SAMPLES_PER_CHANGE = 20;
  private static final double ROUNDING_TOLERANCE = 1e-9;
  private static final double MILLISECONDS_PER_SECOND = 1_000;

  /** The operator changes under test; also implemented by planners with faults. */
  private interface Planner {
    Selector change(Selector selector, Selector requested, long now);

    Selector pause(Selector selector, long now);

    Selector resume(Selector selector, long now);

    Selector turnBack(Selector selector, long now);
  }

  /** Delegates to {@link ShiftPlanner}. */
  private static class RealPlanner implements Planner {
    @Override
    public Selector change(Selector selector, Selector requested, long now) {
      return ShiftPlanner.planShift(selector, requested, now);
    }

    @Override
    public Selector pause(Selector selector, long now) {
      return ShiftPlanner.pause(selector, now);
    }

    @Override
    public Selector resume(Selector selector, long now) {
      return ShiftPlanner.resume(selector, now);
    }

    @Override
    public Selector turnBack(Selector selector, long now) {
      return ShiftPlanner.turnBack(selector, now);
    }
  }

  /** Fault: a resumed shift also makes up for the time of the pause. */
  private static final class CatchUpAfterPause extends RealPlanner {
    private long pausedSince;

    @Override
    public Selector pause(Selector selector, long now) {
      pausedSince = now;
      return super.pause(selector, now);
    }

    @Override
    public Selector resume(Selector selector, long now) {
      Shift shift = selector.shift().orElseThrow();
      Shift backdated = new Shift(pausedSince, false, shift.from(), shift.origin());
      return selector.toBuilder().shift(Optional.of(backdated)).build();
    }
  }

  /** Fault: a resumed shift starts again from the destinations before the shift. */
  private static final class RestartFromZero extends RealPlanner {
    @Override
    public Selector resume(Selector selector, long now) {
      Shift shift = selector.shift().orElseThrow();
      Shift fromZero =
          new Shift(now, false, ShiftSchedule.targetShares(shift.origin()), shift.origin());
      return selector.toBuilder().shift(Optional.of(fromZero)).build();
    }
  }

  /** Fault: turning a shift back restores the earlier destinations without a shift. */
  private static final class JumpOnTurnBack extends RealPlanner {
    @Override
    public Selector turnBack(Selector selector, long now) {
      List<Destination> origin = selector.shift().orElseThrow().origin();
      return selector.toBuilder().destinations(origin).shift(Optional.empty()).build();
    }
  }

  @DataProvider
  public static Object[][] seeds() {
    return IntStream.range(0, 20).mapToObj(seed -> new Object[] {seed}).toArray(Object[][]::new);
  }

  @Test(dataProvider = "seeds")
  public void sharesNeverMoveFasterThanTheCap(int seed) {
    assertTrue(largestExcess(new RealPlanner(), seed) <= ROUNDING_TOLERANCE, "seed " + seed);
  }

  @DataProvider
  public static Object[][] brokenPlanners() {
    return new Object[][] {
      {new CatchUpAfterPause()}, {new RestartFromZero()}, {new JumpOnTurnBack()},
    };
  }

  @Test(dataProvider = "brokenPlanners")
  public void brokenPlannersAreCaught(Planner broken) {
    assertTrue(largestExcess(broken, 1) > ROUNDING_TOLERANCE);
  }

  /** Returns the largest excess over the cap of the movement between two samples. */
  private static double largestExcess(Planner planner, int seed) {
    Random random = new Random(seed);
    Selector selector = selector(random, 0.01 + random.nextDouble() * 0.1);
    long now = 1_000_000;
    double excess = 0;
    List<DestinationShare> last = ShiftSchedule.sharesAt(selector, now);
    for (int change = 0; change < CHANGE_COUNT; change++) {
      for (int sample = 0; sample < SAMPLES_PER_CHANGE; sample++) {
        long elapsed = random.nextInt(500);
        now += elapsed;
        List<DestinationShare> shares = ShiftSchedule.sharesAt(selector, now);
        double allowed = selector.capPerSecond() * elapsed / MILLISECONDS_PER_SECOND;
        excess = Math.max(excess, ShiftSchedule.distance(last, shares) - allowed);
        last = shares;
      }
      selector = changed(planner, selector, random, now);
    }
    return excess;
  }

  private static Selector changed(Planner planner, Selector selector, Random random, long now) {
    int kind = random.nextInt(4);
    if (kind > 0 && selector.shift().isEmpty()) {
      return selector;
    }
    try {
      return switch (kind) {
        case 0 -> planner.change(selector, selector(random, selector.capPerSecond()), now);
        case 1 -> planner.pause(selector, now);
        case 2 -> planner.resume(selector, now);
        default -> planner.turnBack(selector, now);
      };
    } catch (WeirException noShiftInProgress) {
      return selector;
    }
  }

  private static Selector selector(Random random, double capPerSecond) {
    List<Destination> destinations = new ArrayList<>();
    for (int count = 0; count <= random.nextInt(4); count++) {
      destinations.add(destination("z" + random.nextInt(5), 1 + random.nextInt(9)));
    }
    return Selector.builder("trade", "/", "desk")
        .capPerSecond(capPerSecond)
        .destinations(destinations)
        .build();
  }

  private static Destination destination(String zone, int weight) {
    return new Destination(
        List.of(new LabelCondition(LabelScope.ZONE, Optional.empty(), false, List.of(zone))),
        weight);
  }

  @Test
  public void aShiftPausesResumesAndTurnsBackFromWhereItIs() {
    Destination first = destination("z1", 1);
    Destination second = destination("z2", 1);
    Selector before =
        Selector.builder("trade", "/", "desk")
            .capPerSecond(0.1)
            .destinations(List.of(first))
            .build();
    Selector requested = before.toBuilder().destinations(List.of(second)).build();
    Selector shifting = ShiftPlanner.planShift(before, requested, 0);
    Selector paused = ShiftPlanner.pause(shifting, 3_000);
    Selector resumed = ShiftPlanner.resume(paused, 60_000);
    Selector back = ShiftPlanner.turnBack(resumed, 62_000);
    List<Double> sharesOfSecond =
        List.of(
            share(shifting, second, 0),
            share(shifting, second, 3_000),
            share(paused, second, 50_000),
            share(resumed, second, 62_000),
            share(back, second, 64_000),
            share(back, second, 67_000));
    assertEquals(sharesOfSecond, List.of(0.0, 0.3, 0.3, 0.5, 0.3, 0.0));
  }

  private static double share(Selector selector, Destination destination, long now) {
    double share =
        ShiftSchedule.sharesAt(selector, now).stream()
            .filter(
                destinationShare -> destinationShare.conditions().equals(destination.conditions()))
            .mapToDouble(DestinationShare::share)
            .sum();
    return Math.round(share * 1e6) / 1e6;
  }
}
