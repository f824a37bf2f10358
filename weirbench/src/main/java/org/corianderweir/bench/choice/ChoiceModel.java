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
 * A discrete-event simulation of the backend servers of one service in one region and of the entry
 * instances that send requests to them. Times are in milliseconds.
 */
final class ChoiceModel {
  private static final double ONE_WAY_LATENCY_MILLISECONDS = 0.5;
  private static final double MEAN_SERVICE_MILLISECONDS = 20;
  private static final double DEADLINE_MILLISECONDS = 1_000;
  private static final double WARM_UP_MILLISECONDS = 2_000;
  private static final double RETRY_DELAY_MILLISECONDS = 5;
  private static final double REFUSAL_EXPIRY_MILLISECONDS = 5;
  private static final double REPORT_PERIOD_MILLISECONDS = 1_000;
  private static final int MAXIMUM_QUEUE_LENGTH = 200;

  private final ChoiceStrategy strategy;
  private final ChoiceScenario scenario;
  private final SplittableRandom random;
  private final EventScheduler scheduler = new EventScheduler();
  private final List<ModelServer> servers = new ArrayList<>();
  private final List<ModelInstance> instances = new ArrayList<>();
  private final ModelInstance homeInstance;
  private final ChoiceStatistics statistics = new ChoiceStatistics();
  private final double durationMilliseconds;

  private record Request(
      double arrivalMilliseconds, ModelInstance instance, Set<Integer> triedServers) {}

  /**
   * The state of one entry instance: its requests in flight, what it knows of the health of the
   * servers, and its queue. The home instance is an additional one.
   */
  private static final class ModelInstance {
    final int[] inFlight;
    final List<ServerHealth> health = new ArrayList<>();
    final Deque<Request> queue = new ArrayDeque<>();
    boolean retryScheduled;

    ModelInstance(int serverCount) {
      inFlight = new int[serverCount];
      for (int server = 0; server < serverCount; server++) {
        health.add(new ServerHealth(-10_000_000_000L));
      }
    }
  }

  ChoiceModel(
      ChoiceStrategy strategy,
      ChoiceScenario scenario,
      int serverCount,
      int slots,
      int instanceCount,
      double durationMilliseconds,
      long seed) {
    this.strategy = strategy;
    this.scenario = scenario;
    this.durationMilliseconds = durationMilliseconds;
    random = new SplittableRandom(seed);
    for (int index = 0; index < serverCount; index++) {
      servers.add(new ModelServer(index, slots, scenario));
    }
    for (int index = 0; index < instanceCount; index++) {
      instances.add(new ModelInstance(serverCount));
    }
    homeInstance = new ModelInstance(serverCount);
  }

  /**
   * Runs the simulation with Poisson arrivals.
   *
   * @param loadRatio arrival rate as a fraction of the capacity of all servers without faults
   */
  ChoiceStatistics run(double loadRatio) {
    double perMillisecond =
        loadRatio * servers.size() * servers.getFirst().slots / MEAN_SERVICE_MILLISECONDS;
    scheduleArrival(perMillisecond);
    if (scenario != ChoiceScenario.REPORTS_ABSENT) {
      servers.forEach(this::scheduleReport);
    }
    scheduler.runUntilEmpty();
    return statistics;
  }

  private void scheduleArrival(double perMillisecond) {
    double interarrivalMilliseconds = -Math.log(1 - random.nextDouble()) / perMillisecond;
    scheduler.schedule(
        interarrivalMilliseconds,
        () -> {
          if (scheduler.nowMilliseconds() < durationMilliseconds) {
            handleArrival(instances.get(random.nextInt(instances.size())));
            scheduleArrival(perMillisecond);
          }
        });
  }

  private void scheduleReport(ModelServer server) {
    int load = server.reportLoad();
    double lagMilliseconds = 1_000 + 1_000 * random.nextDouble();
    scheduler.schedule(lagMilliseconds, () -> server.reportedLoad = load);
    if (scheduler.nowMilliseconds() < durationMilliseconds) {
      scheduler.schedule(REPORT_PERIOD_MILLISECONDS, () -> scheduleReport(server));
    }
  }

  private void handleArrival(ModelInstance instance) {
    Request request = new Request(scheduler.nowMilliseconds(), instance, new HashSet<>());
    if (request.arrivalMilliseconds() > WARM_UP_MILLISECONDS) {
      statistics.requests++;
    }
    if (strategy.usesHomeInstance()) {
      countMessages(request, strategy == ChoiceStrategy.PERMITS ? 3 : 2);
      scheduler.schedule(ONE_WAY_LATENCY_MILLISECONDS, () -> attempt(homeInstance, request));
    } else {
      attempt(instance, request);
    }
  }

  private void attempt(ModelInstance instance, Request request) {
    Optional<ModelServer> chosen = chooseServer(instance, request);
    if (chosen.isEmpty()) {
      enqueue(instance, request);
      return;
    }
    ModelServer server = chosen.get();
    instance.inFlight[server.index]++;
    double travelMilliseconds =
        strategy == ChoiceStrategy.PERMITS
            ? 2 * ONE_WAY_LATENCY_MILLISECONDS
            : ONE_WAY_LATENCY_MILLISECONDS;
    scheduler.schedule(travelMilliseconds, () -> handleAtServer(instance, request, server));
  }

  private Optional<ModelServer> chooseServer(ModelInstance instance, Request request) {
    List<ServerSelection.Candidate<ModelServer>> candidates = new ArrayList<>();
    for (ModelServer server : servers) {
      if (!request.triedServers().contains(server.index)) {
        candidates.add(
            new ServerSelection.Candidate<>(
                server,
                server.slots,
                knownLoad(instance, server),
                instance.health.get(server.index)));
      }
    }
    if (strategy == ChoiceStrategy.RANDOM) {
      return candidates.isEmpty()
          ? Optional.empty()
          : Optional.of(candidates.get(random.nextInt(candidates.size())).server());
    }
    return ServerSelection.choose(candidates, random, scheduler.nowNanoseconds())
        .map(ServerSelection.Candidate::server);
  }

  private int knownLoad(ModelInstance instance, ModelServer server) {
    int inFlightHere = instance.inFlight[server.index];
    return strategy.readsReports() ? Math.max(inFlightHere, server.reportedLoad) : inFlightHere;
  }

  private void handleAtServer(ModelInstance instance, Request request, ModelServer server) {
    if (!server.tryBegin()) {
      if (request.arrivalMilliseconds() > WARM_UP_MILLISECONDS) {
        statistics.shed++;
      }
      scheduler.schedule(ONE_WAY_LATENCY_MILLISECONDS, () -> handleShed(instance, request, server));
      return;
    }
    double serviceMilliseconds =
        server.serviceMilliseconds(MEAN_SERVICE_MILLISECONDS, scheduler.nowMilliseconds(), random);
    double sentMilliseconds = scheduler.nowMilliseconds();
    scheduler.schedule(
        serviceMilliseconds,
        () -> {
          server.inFlight--;
          scheduler.schedule(
              ONE_WAY_LATENCY_MILLISECONDS,
              () ->
                  handleResponse(
                      instance, request, server, scheduler.nowMilliseconds() - sentMilliseconds));
        });
  }

  private void handleShed(ModelInstance instance, Request request, ModelServer server) {
    instance.inFlight[server.index]--;
    request.triedServers().add(server.index);
    if (strategy.usesSelection()) {
      instance
          .health
          .get(server.index)
          .recordRefusal(nanoseconds(REFUSAL_EXPIRY_MILLISECONDS), scheduler.nowNanoseconds());
    }
    attempt(instance, request);
  }

  private void handleResponse(
      ModelInstance instance, Request request, ModelServer server, double responseMilliseconds) {
    instance.inFlight[server.index]--;
    if (server.failsFast()) {
      instance.health.get(server.index).recordFailure(scheduler.nowNanoseconds());
      if (request.arrivalMilliseconds() > WARM_UP_MILLISECONDS) {
        statistics.failed++;
      }
    } else {
      instance
          .health
          .get(server.index)
          .recordSuccess(nanoseconds(responseMilliseconds), scheduler.nowNanoseconds());
      double returnMilliseconds =
          strategy == ChoiceStrategy.FORWARDING ? ONE_WAY_LATENCY_MILLISECONDS : 0;
      if (request.arrivalMilliseconds() > WARM_UP_MILLISECONDS) {
        statistics.recordLatency(
            scheduler.nowMilliseconds() + returnMilliseconds - request.arrivalMilliseconds());
      }
    }
    // The home instance gets the permit back only when the message of the entry instance arrives.
    double releaseMilliseconds =
        strategy == ChoiceStrategy.PERMITS ? ONE_WAY_LATENCY_MILLISECONDS : 0;
    scheduler.schedule(releaseMilliseconds, () -> retryNext(instance));
  }

  private void enqueue(ModelInstance instance, Request request) {
    request.triedServers().clear();
    if (instance.queue.size() >= MAXIMUM_QUEUE_LENGTH) {
      refuse(request);
      return;
    }
    instance.queue.addLast(request);
    if (strategy.resamples()) {
      double delayMilliseconds = -RETRY_DELAY_MILLISECONDS * Math.log(1 - random.nextDouble());
      scheduler.schedule(delayMilliseconds, () -> retryQueued(instance, request));
    } else if (!instance.retryScheduled) {
      instance.retryScheduled = true;
      scheduler.schedule(RETRY_DELAY_MILLISECONDS, () -> endRetryDelay(instance));
    }
  }

  private void retryQueued(ModelInstance instance, Request request) {
    if (instance.queue.remove(request)) {
      retry(instance, request);
    }
  }

  private void endRetryDelay(ModelInstance instance) {
    instance.retryScheduled = false;
    retryNext(instance);
  }

  private void retryNext(ModelInstance instance) {
    Request next = instance.queue.pollFirst();
    if (next != null) {
      retry(instance, next);
    }
    if (!instance.queue.isEmpty() && !instance.retryScheduled && !strategy.resamples()) {
      instance.retryScheduled = true;
      scheduler.schedule(RETRY_DELAY_MILLISECONDS, () -> endRetryDelay(instance));
    }
  }

  private void retry(ModelInstance instance, Request request) {
    if (scheduler.nowMilliseconds() - request.arrivalMilliseconds() > DEADLINE_MILLISECONDS) {
      refuse(request);
    } else {
      attempt(instance, request);
    }
  }

  private void refuse(Request request) {
    if (request.arrivalMilliseconds() > WARM_UP_MILLISECONDS) {
      statistics.refused++;
    }
  }

  private void countMessages(Request request, int messages) {
    if (request.arrivalMilliseconds() > WARM_UP_MILLISECONDS) {
      statistics.messages += messages;
    }
  }

  private static long nanoseconds(double milliseconds) {
    return (long) (milliseconds * 1e6);
  }
}
