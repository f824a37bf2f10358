package org.corianderweir.logic.delivery;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.testng.annotations.Test;

/** Tests of {@link FairQueue}. */
public class FairQueueTest {
  @Test
  public void servesOrganisationsRoundRobin() {
    FairQueue<String> queue = new FairQueue<>(10);
    List.of("a1", "a2", "a3", "b1", "c1", "b2")
        .forEach(element -> queue.offer(element.substring(0, 1), element));
    assertEquals(drain(queue), List.of("a1", "b1", "c1", "a2", "b2", "a3"));
  }

  @Test
  public void evictsNewestOfLongestQueue() {
    FairQueue<String> queue = new FairQueue<>(3);
    List<Optional<String>> evicted = new ArrayList<>();
    List.of("a1", "a2", "a3", "a4", "b1", "b2")
        .forEach(element -> evicted.add(queue.offer(element.substring(0, 1), element)));
    assertEquals(
        List.of(evicted, drain(queue)),
        List.of(
            List.of(
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                Optional.of("a4"),
                Optional.of("a3"),
                Optional.of("a2")),
            List.of("a1", "b1", "b2")));
  }

  @Test
  public void removalFreesCapacity() {
    FairQueue<String> queue = new FairQueue<>(2);
    queue.offer("a", "a1");
    queue.offer("b", "b1");
    queue.remove("a", "a1");
    queue.remove("a", "a1");
    queue.rotate();
    assertEquals(
        List.of(queue.size(), queue.peek(), drain(queue)),
        List.of(1, Optional.of("b1"), List.of("b1")));
  }

  private static List<String> drain(FairQueue<String> queue) {
    List<String> polled = new ArrayList<>();
    Optional<String> next = queue.poll();
    while (next.isPresent()) {
      polled.add(next.get());
      next = queue.poll();
    }
    return polled;
  }
}
