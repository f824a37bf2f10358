package org.corianderweir.logic.delivery;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link ServerSelection} and {@link ServerHealth}. */
public class ServerSelectionTest {
  private static final long SECOND_NANOSECONDS = 1_000_000_000L;
  private static final long NOW_NANOSECONDS = 100 * SECOND_NANOSECONDS;

  /**
   * A server with four slots: requests in flight, consecutive failures, and whether it has just
   * refused a request.
   */
  private record ServerCase(int inFlight, int failures, boolean refused) {}

  @DataProvider
  public Object[][] servers() {
    ServerCase idle = new ServerCase(0, 0, false);
    ServerCase full = new ServerCase(4, 0, false);
    ServerCase ejected = new ServerCase(0, 5, false);
    ServerCase nearlyEjected = new ServerCase(0, 4, false);
    ServerCase refused = new ServerCase(0, 0, true);
    return new Object[][] {
      {List.of(), List.of()},
      {List.of(idle, full), List.of(0)},
      {List.of(full, full), List.of()},
      {List.of(idle, refused), List.of(0)},
      {List.of(idle, nearlyEjected), List.of(0, 1)},
      {List.of(idle, ejected), List.of(0)},
      {List.of(idle, ejected, ejected), List.of(0, 1, 2)},
      {List.of(ejected), List.of(0)},
      {List.of(ejected, ejected), List.of(0, 1)}
    };
  }

  @Test(dataProvider = "servers")
  public void choosesAvailableServersAndBoundsEjection(
      List<ServerCase> given, List<Integer> expected) {
    List<ServerSelection.Candidate<Integer>> candidates =
        IntStream.range(0, given.size())
            .mapToObj(index -> candidate(index, given.get(index)))
            .toList();
    SplittableRandom random = new SplittableRandom(1);
    TreeSet<Integer> chosen = new TreeSet<>();
    for (int draw = 0; draw < 200; draw++) {
      ServerSelection.choose(candidates, random, NOW_NANOSECONDS)
          .ifPresent(candidate -> chosen.add(candidate.server()));
    }
    assertEquals(List.copyOf(chosen), expected);
  }

  /** An explanation gave another reason than the one for which a server was passed over. */
  @Test
  public void verdictsNameWhyAServerCannotBeChosen() {
    ServerHealth starting = new ServerHealth(NOW_NANOSECONDS);
    assertEquals(
        ServerSelection.verdicts(
            List.of(
                candidate(0, new ServerCase(0, 0, false)),
                candidate(1, new ServerCase(4, 0, false)),
                candidate(2, new ServerCase(0, 0, true)),
                candidate(3, new ServerCase(0, 5, false)),
                new ServerSelection.Candidate<>(4, 4, 3, starting)),
            NOW_NANOSECONDS),
        List.of(
            ServerSelection.Verdict.AVAILABLE,
            ServerSelection.Verdict.FULL,
            ServerSelection.Verdict.OVERLOADED,
            ServerSelection.Verdict.EJECTED,
            ServerSelection.Verdict.COLD));
  }

  private static ServerSelection.Candidate<Integer> candidate(int index, ServerCase given) {
    ServerHealth health = new ServerHealth(0);
    for (int failure = 0; failure < given.failures(); failure++) {
      health.recordFailure(NOW_NANOSECONDS);
    }
    if (given.refused()) {
      health.recordRefusal(SECOND_NANOSECONDS, NOW_NANOSECONDS);
    }
    return new ServerSelection.Candidate<>(index, 4, given.inFlight(), health);
  }

  @DataProvider
  public Object[][] ages() {
    return new Object[][] {
      {0L, 0, true},
      {0L, 1, false},
      {5 * SECOND_NANOSECONDS, 3, true},
      {5 * SECOND_NANOSECONDS, 4, false}
    };
  }

  @Test(dataProvider = "ages")
  public void newServerStartsSlowly(long age, int inFlight, boolean expected) {
    var candidate = new ServerSelection.Candidate<>(0, 4, inFlight, new ServerHealth(0));
    Optional<?> chosen = ServerSelection.choose(List.of(candidate), new SplittableRandom(1), age);
    assertEquals(chosen.isPresent(), expected);
  }

  @Test
  public void slowServerIsChosenLess() {
    ServerHealth slow = new ServerHealth(0);
    slow.recordSuccess(10 * SECOND_NANOSECONDS, NOW_NANOSECONDS);
    ServerHealth fast = new ServerHealth(0);
    fast.recordSuccess(SECOND_NANOSECONDS, NOW_NANOSECONDS);
    List<ServerSelection.Candidate<String>> candidates =
        List.of(
            new ServerSelection.Candidate<>("slow", 4, 0, slow),
            new ServerSelection.Candidate<>("fast", 4, 2, fast));
    SplittableRandom random = new SplittableRandom(1);
    long count =
        IntStream.range(0, 1_000)
            .filter(
                draw ->
                    ServerSelection.choose(candidates, random, NOW_NANOSECONDS)
                        .orElseThrow()
                        .server()
                        .equals("slow"))
            .count();
    assertEquals(count, 256);
  }

  @Test
  public void ejectionDoublesUntilSuccess() {
    ServerHealth health = new ServerHealth(0);
    List<Long> ends = new java.util.ArrayList<>();
    for (int round = 0; round < 3; round++) {
      if (round == 2) {
        health.recordSuccess(1, 0);
      }
      for (int failure = 0; failure < 5; failure++) {
        health.recordFailure(0);
      }
      long end = 0;
      while (health.isEjected(end)) {
        end += SECOND_NANOSECONDS;
      }
      ends.add(end / SECOND_NANOSECONDS);
    }
    assertEquals(ends, List.of(1L, 2L, 1L));
  }
}
