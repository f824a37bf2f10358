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
  private static final long SECOND = 1_000_000_000L;
  private static final long LATER = 100 * SECOND;

  /** A server of four slots: requests in flight, failures in a row, whether it refused just now. */
  private record Given(int inFlight, int failures, boolean refused) {}

  @DataProvider
  public Object[][] servers() {
    Given idle = new Given(0, 0, false);
    Given full = new Given(4, 0, false);
    Given ejected = new Given(0, 5, false);
    Given failedOnce = new Given(0, 4, false);
    Given refused = new Given(0, 0, true);
    return new Object[][] {
      {List.of(), List.of()},
      {List.of(idle, full), List.of(0)},
      {List.of(full, full), List.of()},
      {List.of(idle, refused), List.of(0)},
      {List.of(idle, failedOnce), List.of(0, 1)},
      {List.of(idle, ejected), List.of(0)},
      {List.of(idle, ejected, ejected), List.of(0, 1, 2)},
      {List.of(ejected), List.of(0)},
      {List.of(ejected, ejected), List.of(0, 1)}
    };
  }

  @Test(dataProvider = "servers")
  public void choosesAmongFreeAndNeverEmptiesTheZone(List<Given> given, List<Integer> expected) {
    List<ServerSelection.Candidate<Integer>> candidates =
        IntStream.range(0, given.size())
            .mapToObj(index -> candidate(index, given.get(index)))
            .toList();
    SplittableRandom random = new SplittableRandom(1);
    TreeSet<Integer> chosen = new TreeSet<>();
    for (int draw = 0; draw < 200; draw++) {
      ServerSelection.choose(candidates, random, LATER)
          .ifPresent(candidate -> chosen.add(candidate.server()));
    }
    assertEquals(List.copyOf(chosen), expected);
  }

  private static ServerSelection.Candidate<Integer> candidate(int index, Given given) {
    ServerHealth health = new ServerHealth(0);
    for (int failure = 0; failure < given.failures(); failure++) {
      health.failed(LATER);
    }
    if (given.refused()) {
      health.refused(SECOND, LATER);
    }
    return new ServerSelection.Candidate<>(index, 4, given.inFlight(), health);
  }

  @DataProvider
  public Object[][] ages() {
    return new Object[][] {
      {0L, 0, true}, {0L, 1, false}, {5 * SECOND, 3, true}, {5 * SECOND, 4, false}
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
    slow.answered(10 * SECOND, LATER);
    ServerHealth fast = new ServerHealth(0);
    fast.answered(SECOND, LATER);
    List<ServerSelection.Candidate<String>> candidates =
        List.of(
            new ServerSelection.Candidate<>("slow", 4, 0, slow),
            new ServerSelection.Candidate<>("fast", 4, 2, fast));
    SplittableRandom random = new SplittableRandom(1);
    long count =
        IntStream.range(0, 1_000)
            .filter(
                draw ->
                    ServerSelection.choose(candidates, random, LATER)
                        .orElseThrow()
                        .server()
                        .equals("slow"))
            .count();
    assertEquals(count, 256);
  }

  @Test
  public void ejectionDoublesUntilAnAnswer() {
    ServerHealth health = new ServerHealth(0);
    List<Long> ends = new java.util.ArrayList<>();
    for (int round = 0; round < 3; round++) {
      if (round == 2) {
        health.answered(1, 0);
      }
      for (int failure = 0; failure < 5; failure++) {
        health.failed(0);
      }
      long end = 0;
      while (health.ejected(end)) {
        end += SECOND;
      }
      ends.add(end / SECOND);
    }
    assertEquals(ends, List.of(1L, 2L, 1L));
  }
}
