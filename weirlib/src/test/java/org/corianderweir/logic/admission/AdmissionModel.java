package org.corianderweir.logic.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.jspecify.annotations.Nullable;

/**
 * A discrete-event simulation of the servers of one service in one region, the entry instances that
 * send to them, and callers. Each instance knows only its own requests in flight and reports. Times
 * are in milliseconds; the figures are those of the first customer of docs/design/hard-load.md.
 */
final class AdmissionModel {
  static final int CLASSES = 3;
  static final int ORGANISATIONS = 75;
  static final double TARGET = 433;

  private static final String POOL = "lookup/region";
  private static final int ZONES = 2;
  private static final int INSTANCES = 35;
  private static final int SERVERS = 55;
  private static final int SLOTS = 3;
  private static final int QUEUE_LIMIT = 9;
  private static final int MEMORY_OBJECTS = 30;
  private static final int OBJECTS = 4_000;
  private static final int CANDIDATES = 4;
  private static final int RANKED_CANDIDATES = 16;
  private static final int ATTEMPTS = 2;
  private static final double DEADLINE = 2_707;
  private static final double COLD_WORK = 480;
  private static final double WARM_RATIO = 0.3;
  private static final double PER_MILLISECOND = 1.25 * SERVERS * SLOTS / COLD_WORK;
  private static final double ONE_WAY = 0.7;
  private static final double REPORT_LIFETIME = 1_000;
  private static final double SHARING_PERIOD = 250;
  private static final double DEFAULT_RETURN = 250;
  private static final double MEASURED_FROM = 5_000;
  private static final double NANOSECONDS = 1e6;

  private final AdmissionLoad load;
  private final boolean admitting;
  private final boolean sharing;
  private final SplittableRandom arrivals;
  private final SplittableRandom random;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingDouble(Event::due).thenComparing(Event::sequence));
  private final List<Server> servers = new ArrayList<>();
  private final List<Instance> instances = new ArrayList<>();
  private final Report[][] boards = new Report[ZONES][SERVERS];
  private final int[][] rankedServers = new int[OBJECTS][RANKED_CANDIDATES];
  private final AdmissionTable table = new AdmissionTable();
  private long sequence;
  private double now;

  private record Event(double due, long sequence, Runnable task) {}

  private record Report(int requests, double speed, double time) {}

  /** A request, over all attempts of its caller. */
  private static final class Request {
    final double arrived;
    final int zone;
    final int organisation;
    final int object;
    int attempt;
    boolean counted;

    Request(double arrived, int zone, int organisation, int object) {
      this.arrived = arrived;
      this.zone = zone;
      this.organisation = organisation;
      this.object = object;
    }
  }

  /** One attempt of a caller at one instance. */
  private static final class Attempt {
    final Request request;
    final Instance instance;
    final double arrived;
    int sends;
    int tried = -1;
    boolean ended;

    Attempt(Request request, Instance instance, double arrived) {
      this.request = request;
      this.instance = instance;
      this.arrived = arrived;
    }
  }

  /** One send of an attempt to a server. */
  private record Send(
      Attempt attempt, Server server, WorkKind kind, Candidate candidate, double time) {}

  private static final class Server {
    final int index;
    final Deque<Send> queue = new ArrayDeque<>();
    final Map<Integer, Integer> memory = new LinkedHashMap<>(MEMORY_OBJECTS, 1, true);
    int running;
    int epoch;

    Server(int index) {
      this.index = index;
    }
  }

  private static final class Instance {
    final int zone;
    final int[] inFlight = new int[SERVERS];
    final int[] others = new int[SERVERS];
    final Report[] reports = new Report[SERVERS];
    final PriorityQueue<Attempt> waiting =
        new PriorityQueue<>(
            Comparator.<Attempt>comparingInt(attempt -> priority(attempt.request.organisation))
                .thenComparingDouble(attempt -> attempt.arrived));
    CapacityAdmission admission = new CapacityAdmission();

    Instance(int zone) {
      this.zone = zone;
    }
  }

  AdmissionModel(AdmissionLoad load, boolean admitting, boolean sharing, long seed) {
    this.load = load;
    this.admitting = admitting;
    this.sharing = sharing;
    arrivals = new SplittableRandom(seed);
    random = arrivals.split();
    for (int index = 0; index < SERVERS; index++) {
      servers.add(new Server(index));
    }
    for (int index = 0; index < INSTANCES; index++) {
      instances.add(new Instance(index % ZONES));
    }
    for (int[] ranked : rankedServers) {
      int[] drawn = arrivals.ints(0, SERVERS).distinct().limit(RANKED_CANDIDATES).toArray();
      System.arraycopy(drawn, 0, ranked, 0, RANKED_CANDIDATES);
    }
  }

  static int priority(int organisation) {
    return organisation % CLASSES;
  }

  AdmissionTable run() {
    scheduleArrival();
    if (sharing) {
      schedule(SHARING_PERIOD, this::share);
    }
    for (double time : load.stateLossTimes()) {
      schedule(time, this::loseState);
    }
    for (Event next = events.poll(); next != null; next = events.poll()) {
      now = next.due();
      next.task().run();
    }
    return table;
  }

  private void schedule(double delay, Runnable task) {
    events.add(new Event(now + delay, ++sequence, task));
  }

  private long nowNanoseconds() {
    return Math.round(now * NANOSECONDS);
  }

  private void scheduleArrival() {
    double rate = PER_MILLISECOND * AdmissionLoad.LARGEST_DEMAND;
    schedule(-Math.log(1 - arrivals.nextDouble()) / rate, this::arrive);
  }

  private void arrive() {
    if (now > AdmissionLoad.DURATION) {
      return;
    }
    int zone = arrivals.nextInt(ZONES);
    int organisation = arrivals.nextInt(ORGANISATIONS);
    double position = arrivals.nextDouble();
    double demand = load.demand(now, zone, organisation);
    if (arrivals.nextDouble() * AdmissionLoad.LARGEST_DEMAND < demand) {
      int object = (int) (OBJECTS * position * position);
      attempt(new Request(now, zone, organisation, object));
    }
    scheduleArrival();
  }

  private void attempt(Request request) {
    request.attempt++;
    int zone = load.isZoneLost(request.zone, now) ? 0 : request.zone;
    List<Instance> local = instances.stream().filter(one -> one.zone == zone).toList();
    Instance instance = local.get(random.nextInt(local.size()));
    if (load.isDown(now)) {
      refused(request, DEFAULT_RETURN);
      return;
    }
    next(new Attempt(request, instance, now));
  }

  /** Chooses a server for an attempt and sends it there, holds it, or rejects it. */
  private void next(Attempt attempt) {
    Request request = attempt.request;
    int rank = choose(attempt);
    if (rank < 0 || request.arrived + DEADLINE <= now) {
      refused(request, DEFAULT_RETURN);
      return;
    }
    Instance instance = attempt.instance;
    Server server = servers.get(rankedServers[request.object][rank]);
    WorkKind kind = new WorkKind("lookup", "region", rank == 0);
    Candidate candidate =
        new Candidate(
            load(instance, server.index),
            SLOTS,
            speed(instance, server.index),
            reportWeight(instance, server.index),
            instance.admission.work(kind, nowNanoseconds()));
    Send send = new Send(attempt, server, kind, candidate, now);
    if (!admitting) {
      send(send);
      return;
    }
    AdmissionRequest asked =
        AdmissionRequest.builder()
            .organisation("organisation " + request.organisation)
            .priority(priority(request.organisation))
            .target(nanoseconds(TARGET), nanoseconds(attempt.arrived + TARGET - now))
            .deadlineLeft(nanoseconds(request.arrived + DEADLINE - now))
            .unsent(attempt.sends == 0)
            .mayWait(true)
            .build();
    switch (instance.admission.decide(POOL, asked, candidate, random, nowNanoseconds())) {
      case AdmissionResult.Send unused -> send(send);
      case AdmissionResult.WaitUntil wait -> {
        instance.waiting.add(attempt);
        schedule(wait.untilNanoseconds() / NANOSECONDS - now, () -> resume(attempt));
      }
      case AdmissionResult.Reject reject ->
          refused(request, reject.retryAfter().toNanos() / NANOSECONDS);
    }
  }

  private void resume(Attempt attempt) {
    if (attempt.instance.waiting.remove(attempt)) {
      next(attempt);
    }
  }

  /** Returns the rank of the best candidate by the rule of ServerChoice, or -1. */
  private int choose(Attempt attempt) {
    int best = -1;
    double bestRatio = Double.MAX_VALUE;
    int alive = 0;
    int[] ranked = rankedServers[attempt.request.object];
    for (int rank = 0; rank < RANKED_CANDIDATES && alive < CANDIDATES; rank++) {
      int server = ranked[rank];
      if (load.isZoneLost(server % ZONES, now)) {
        continue;
      }
      alive++;
      if (server == attempt.tried) {
        continue;
      }
      double requests = load(attempt.instance, server);
      double work = alive == 1 ? 1 : 3 + 0.2 * rank;
      double full = requests >= 3.5 * SLOTS ? 100 : 0;
      double ratio =
          (work + Math.max(0, requests + 1 - SLOTS) / SLOTS) * speed(attempt.instance, server)
              + full;
      if (ratio < bestRatio) {
        bestRatio = ratio;
        best = rank;
      }
    }
    return best;
  }

  private double reportWeight(Instance instance, int server) {
    Report report = instance.reports[server];
    return report == null ? 0 : Math.max(0, 1 - (now - report.time()) / REPORT_LIFETIME);
  }

  private double load(Instance instance, int server) {
    return instance.inFlight[server] + instance.others[server] * reportWeight(instance, server);
  }

  private double speed(Instance instance, int server) {
    Report report = instance.reports[server];
    return report == null ? 1 : 1 + (report.speed() - 1) * reportWeight(instance, server);
  }

  private void send(Send send) {
    send.attempt().sends++;
    send.attempt().instance.inFlight[send.server().index]++;
    schedule(ONE_WAY, () -> reach(send));
    schedule(
        send.attempt().request.arrived + DEADLINE - now,
        () -> {
          if (!send.attempt().ended && send.attempt().tried != send.server().index) {
            end(send);
            unserved(send.attempt().request);
          }
        });
  }

  private void reach(Send send) {
    Server server = send.server();
    if (load.isZoneLost(server.index % ZONES, now) || load.isDown(now)) {
      schedule(ONE_WAY, () -> notRun(send, null));
    } else if (server.running < SLOTS) {
      begin(send);
    } else if (server.queue.size() < QUEUE_LIMIT) {
      server.queue.add(send);
    } else {
      Report report = report(server);
      schedule(ONE_WAY, () -> notRun(send, report));
    }
  }

  private void begin(Send send) {
    Server server = send.server();
    server.running++;
    int object = send.attempt().request.object;
    boolean warm = server.memory.get(object) != null;
    server.memory.put(object, object);
    if (server.memory.size() > MEMORY_OBJECTS) {
      server.memory.remove(server.memory.keySet().iterator().next());
    }
    double work =
        COLD_WORK
            * (warm ? WARM_RATIO : 1)
            * load.speed(server.index)
            * random.nextDouble(0.8, 1.2);
    int epoch = server.epoch;
    schedule(work, () -> finish(send, epoch));
  }

  private void finish(Send send, int epoch) {
    Server server = send.server();
    if (epoch != server.epoch) {
      return;
    }
    server.running--;
    Send queued = server.queue.poll();
    while (queued != null && queued.attempt().ended) {
      queued = server.queue.poll();
    }
    if (queued != null) {
      begin(queued);
    }
    Report report = report(server);
    schedule(ONE_WAY, () -> answered(send, report));
  }

  private Report report(Server server) {
    return new Report(server.running + server.queue.size(), load.speed(server.index), now);
  }

  private void answered(Send send, Report report) {
    Attempt attempt = send.attempt();
    if (attempt.ended) {
      return;
    }
    end(send);
    Instance instance = attempt.instance;
    boards[instance.zone][send.server().index] = report;
    learn(instance, send.server().index, report);
    instance.admission.recordAnswer(
        POOL,
        send.kind(),
        send.candidate(),
        nanoseconds(TARGET),
        nanoseconds(now - send.time()),
        nowNanoseconds());
    count(attempt.request, now - attempt.request.arrived);
    Attempt mostUrgent = instance.waiting.poll();
    if (mostUrgent != null) {
      next(mostUrgent);
    }
  }

  private void notRun(Send send, @Nullable Report report) {
    Attempt attempt = send.attempt();
    if (attempt.ended) {
      return;
    }
    attempt.instance.inFlight[send.server().index]--;
    attempt.tried = send.server().index;
    if (report != null) {
      learn(attempt.instance, send.server().index, report);
    }
    if (attempt.sends < ATTEMPTS) {
      next(attempt);
    } else {
      attempt.ended = true;
      refused(attempt.request, DEFAULT_RETURN);
    }
  }

  private static void end(Send send) {
    send.attempt().ended = true;
    send.attempt().instance.inFlight[send.server().index]--;
  }

  private void learn(Instance instance, int server, Report report) {
    Report known = instance.reports[server];
    if (known == null || known.time() < report.time()) {
      instance.reports[server] = report;
      instance.others[server] = Math.max(0, report.requests() - instance.inFlight[server]);
      instance.admission.recordReport(POOL, report.requests(), SLOTS, nowNanoseconds());
    }
  }

  private void share() {
    for (Instance instance : instances) {
      for (int server = 0; server < SERVERS; server++) {
        Report report = boards[instance.zone][server];
        if (report != null) {
          learn(instance, server, report);
        }
      }
    }
    if (now < AdmissionLoad.DURATION) {
      schedule(SHARING_PERIOD, this::share);
    }
  }

  private void loseState() {
    for (Server server : servers) {
      if (load.isZoneLost(server.index % ZONES, now) || load.isDown(now)) {
        server.epoch++;
        server.running = 0;
        server.queue.clear();
        server.memory.clear();
      }
    }
    if (load.isDown(now)) {
      for (Instance instance : instances) {
        instance.admission = new CapacityAdmission();
        Arrays.fill(instance.reports, null);
      }
    }
  }

  /** The caller learns that its request was not run, and sends it again if it may. */
  private void refused(Request request, double retryAfter) {
    double left = request.arrived + DEADLINE - now;
    double delay = load.respectsRetryAfter() ? Math.min(retryAfter, left / 3) : 5;
    if (request.attempt <= load.repeats() && left > 2 * ONE_WAY) {
      schedule(delay + 2 * ONE_WAY, () -> attempt(request));
    } else {
      unserved(request);
    }
  }

  private void unserved(Request request) {
    count(request, Double.POSITIVE_INFINITY);
  }

  private void count(Request request, double latency) {
    if (!request.counted && request.arrived >= MEASURED_FROM) {
      int organisation = request.organisation;
      table.count(priority(organisation), organisation, request.zone, latency, TARGET);
    }
    request.counted = true;
  }

  private static long nanoseconds(double milliseconds) {
    return Math.round(milliseconds * NANOSECONDS);
  }
}
