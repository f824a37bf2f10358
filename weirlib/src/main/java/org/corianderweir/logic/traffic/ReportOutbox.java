package org.corianderweir.logic.traffic;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.corianderweir.model.traffic.ServerRegistration;

/**
 * The newest report of each server that this instance has heard itself and not shared yet. Not
 * thread-safe.
 */
final class ReportOutbox {
  private static final int WINDOW_SECONDS = 4;
  private static final int WINDOW_BUCKET_COUNT = 8;

  private final Map<ServerState, Heard> heard = new LinkedHashMap<>();
  private final SlidingWindowCounter reports =
      new SlidingWindowCounter(TimeUnit.SECONDS.toNanos(WINDOW_SECONDS), WINDOW_BUCKET_COUNT);

  private record Heard(ServerLoad load, long nanoseconds) {}

  /** Adds a report that this instance has heard now. */
  void add(ServerState server, ServerLoad load, long nowNanoseconds) {
    reports.add(nowNanoseconds);
    heard.remove(server);
    heard.put(server, new Heard(load, nowNanoseconds));
  }

  /** Drops reports of servers that are not registered any more. */
  void retain(Predicate<ServerState> registered) {
    heard.keySet().removeIf(registered.negate());
  }

  /**
   * Returns the reports to share and empties the outbox. A report is shared if it has a speed.
   * Where loads are shared, the others are as well, if this instance hears less than one report per
   * second and server; else each instance hears enough itself.
   *
   * @param serverCount number of registered servers
   * @param loadsShared whether reports without a speed are shared
   */
  List<SharedServerReport> take(int serverCount, boolean loadsShared, long nowNanoseconds) {
    if (heard.isEmpty()) {
      return List.of();
    }
    boolean rare =
        loadsShared && reports.count(nowNanoseconds) < (long) WINDOW_SECONDS * serverCount;
    List<SharedServerReport> shared = new ArrayList<>();
    heard.forEach(
        (server, report) -> {
          boolean wanted = rare || report.load().speedPercent().isPresent();
          if (wanted && SharedServerReport.isCurrent(report.nanoseconds(), nowNanoseconds)) {
            ServerRegistration registration = server.registration();
            shared.add(
                SharedServerReport.of(
                    registration.identifier(),
                    registration.startedMilliseconds(),
                    report.load(),
                    report.nanoseconds(),
                    nowNanoseconds));
          }
        });
    heard.clear();
    int surplus = Math.max(0, shared.size() - SharedServerReport.MESSAGE_LIMIT);
    return List.copyOf(shared.subList(surplus, shared.size()));
  }
}
