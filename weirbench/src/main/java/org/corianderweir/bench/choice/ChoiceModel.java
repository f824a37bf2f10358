package org.corianderweir.bench.choice;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.corianderweir.logic.delivery.ServerHealth;
import org.corianderweir.logic.delivery.ServerSelection;

/**
 * A discrete-event model of the servers of one service in one region and of the entry instances
 * before them. Times are in milliseconds.
 */
final class ChoiceModel {
  private static final double ONE_WAY = 0.5;
  private static final double MEAN_SERVICE = 20;
  private static final double DEADLINE = 1_000;
  private static final double WARM_UP = 2_000;
  private static final double RETRY_PAUSE = 5;
  private static final double REFUSAL_MEMORY = 5;
  private static final double REPORT_PERIOD = 1_000;
  private static final int QUEUE_LIMIT = 200;

  private final ChoiceWay way;
  private final ChoiceScenario scenario;
  private final SplittableRandom random;
  private final ModelEvents events = new ModelEvents();
  private final List<ModelServer> servers = new ArrayList<>();
  private final List<Entry> entries = new ArrayList<>();
  private final Entry home;
  private final ChoiceFigures figures = new ChoiceFigures();
  private final double length;

  private record Request(double arrived, Entry entry, Set<Integer> tried) {}

  /** What one entry instance knows and holds; the home is one more of them. */
  private static final class Entry {
    final int[] inFlight;
    final List<ServerHealth> health = new ArrayList<>();
    final Deque<Request> waiting = new ArrayDeque<>();
    boolean pauseScheduled;

    Entry(int servers) {
      inFlight = new int[servers];
      for (int server = 0; server < servers; server++) {
        health.add(new ServerHealth(-10_000_000_000L));
      }
    }
  }

  ChoiceModel(
      ChoiceWay way,
      ChoiceScenario scenario,
      int serverCount,
      int slots,
      int entryCount,
      double lengthMilliseconds,
      long seed) {
    this.way = way;
    this.scenario = scenario;
    this.length = lengthMilliseconds;
    random = new SplittableRandom(seed);
    for (int index = 0; index < serverCount; index++) {
      servers.add(new ModelServer(index, slots, scenario));
    }
    for (int index = 0; index < entryCount; index++) {
      entries.add(new Entry(serverCount));
    }
    home = new Entry(serverCount);
  }

  /** Runs with Poisson arrivals at a part of the capacity that all servers would have if well. */
  ChoiceFigures run(double load) {
    double perMillisecond = load * servers.size() * servers.getFirst().slots / MEAN_SERVICE;
    scheduleArrival(perMillisecond);
    if (scenario != ChoiceScenario.REPORTS_ABSENT) {
      servers.forEach(this::scheduleReport);
    }
    events.runUntilEmpty();
    return figures;
  }

  private void scheduleArrival(double perMillisecond) {
    double pause = -Math.log(1 - random.nextDouble()) / perMillisecond;
    events.after(
        pause,
        () -> {
          if (events.now() < length) {
            arrive(entries.get(random.nextInt(entries.size())));
            scheduleArrival(perMillisecond);
          }
        });
  }

  private void scheduleReport(ModelServer server) {
    int report = server.report();
    double lag = 1_000 + 1_000 * random.nextDouble();
    events.after(lag, () -> server.reported = report);
    if (events.now() < length) {
      events.after(REPORT_PERIOD, () -> scheduleReport(server));
    }
  }

  private void arrive(Entry entry) {
    Request request = new Request(events.now(), entry, new HashSet<>());
    if (request.arrived() > WARM_UP) {
      figures.requests++;
    }
    if (way.usesHome()) {
      count(request, way == ChoiceWay.PERMITS ? 3 : 2);
      events.after(ONE_WAY, () -> attempt(home, request));
    } else {
      attempt(entry, request);
    }
  }

  private void attempt(Entry holder, Request request) {
    Optional<ModelServer> chosen = choose(holder, request);
    if (chosen.isEmpty()) {
      await(holder, request);
      return;
    }
    ModelServer server = chosen.get();
    holder.inFlight[server.index]++;
    double way1 = way == ChoiceWay.PERMITS ? 2 * ONE_WAY : ONE_WAY;
    events.after(way1, () -> reach(holder, request, server));
  }

  private Optional<ModelServer> choose(Entry holder, Request request) {
    List<ServerSelection.Candidate<ModelServer>> candidates = new ArrayList<>();
    for (ModelServer server : servers) {
      if (!request.tried().contains(server.index)) {
        candidates.add(
            new ServerSelection.Candidate<>(
                server, server.slots, known(holder, server), holder.health.get(server.index)));
      }
    }
    if (way == ChoiceWay.RANDOM) {
      return candidates.isEmpty()
          ? Optional.empty()
          : Optional.of(candidates.get(random.nextInt(candidates.size())).server());
    }
    return ServerSelection.choose(candidates, random, events.nowNanoseconds())
        .map(ServerSelection.Candidate::server);
  }

  private int known(Entry holder, ModelServer server) {
    int here = holder.inFlight[server.index];
    return way.readsReports() ? Math.max(here, server.reported) : here;
  }

  private void reach(Entry holder, Request request, ModelServer server) {
    if (!server.begin()) {
      if (request.arrived() > WARM_UP) {
        figures.shed++;
      }
      events.after(ONE_WAY, () -> shed(holder, request, server));
      return;
    }
    double service = server.serviceMilliseconds(MEAN_SERVICE, events.now(), random);
    double sent = events.now();
    events.after(
        service,
        () -> {
          server.running--;
          events.after(ONE_WAY, () -> end(holder, request, server, events.now() - sent));
        });
  }

  private void shed(Entry holder, Request request, ModelServer server) {
    holder.inFlight[server.index]--;
    request.tried().add(server.index);
    if (way.selects()) {
      holder.health.get(server.index).refused(nanoseconds(REFUSAL_MEMORY), events.nowNanoseconds());
    }
    attempt(holder, request);
  }

  private void end(Entry holder, Request request, ModelServer server, double took) {
    holder.inFlight[server.index]--;
    if (server.failsFast()) {
      holder.health.get(server.index).failed(events.nowNanoseconds());
      if (request.arrived() > WARM_UP) {
        figures.failed++;
      }
    } else {
      holder.health.get(server.index).answered(nanoseconds(took), events.nowNanoseconds());
      double back = way == ChoiceWay.FORWARDING ? ONE_WAY : 0;
      if (request.arrived() > WARM_UP) {
        figures.answered(events.now() + back - request.arrived());
      }
    }
    // A permit comes back to the home only after the entry instance has sent it.
    double release = way == ChoiceWay.PERMITS ? ONE_WAY : 0;
    events.after(release, () -> wake(holder));
  }

  private void await(Entry holder, Request request) {
    request.tried().clear();
    if (holder.waiting.size() >= QUEUE_LIMIT) {
      refuse(request);
      return;
    }
    holder.waiting.addLast(request);
    if (way.resamples()) {
      double moment = -RETRY_PAUSE * Math.log(1 - random.nextDouble());
      events.after(moment, () -> resample(holder, request));
    } else if (!holder.pauseScheduled) {
      holder.pauseScheduled = true;
      events.after(RETRY_PAUSE, () -> endPause(holder));
    }
  }

  private void resample(Entry holder, Request request) {
    if (holder.waiting.remove(request)) {
      retry(holder, request);
    }
  }

  private void endPause(Entry holder) {
    holder.pauseScheduled = false;
    wake(holder);
  }

  private void wake(Entry holder) {
    Request next = holder.waiting.pollFirst();
    if (next != null) {
      retry(holder, next);
    }
    if (!holder.waiting.isEmpty() && !holder.pauseScheduled && !way.resamples()) {
      holder.pauseScheduled = true;
      events.after(RETRY_PAUSE, () -> endPause(holder));
    }
  }

  private void retry(Entry holder, Request request) {
    if (events.now() - request.arrived() > DEADLINE) {
      refuse(request);
    } else {
      attempt(holder, request);
    }
  }

  private void refuse(Request request) {
    if (request.arrived() > WARM_UP) {
      figures.refused++;
    }
  }

  private void count(Request request, int messages) {
    if (request.arrived() > WARM_UP) {
      figures.messages += messages;
    }
  }

  private static long nanoseconds(double milliseconds) {
    return (long) (milliseconds * 1e6);
  }
}
