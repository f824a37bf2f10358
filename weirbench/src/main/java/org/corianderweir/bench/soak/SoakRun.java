package org.corianderweir.bench.soak;

import java.io.PrintStream;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicLong;
import org.corianderweir.bench.metadata.MetadataStoreStandIn;
import org.corianderweir.bench.metadata.StoreFault;
import org.corianderweir.bench.metadata.StoreValues;
import org.corianderweir.bench.network.NetworkConditions;
import org.corianderweir.bench.network.NetworkRelay;
import org.corianderweir.bench.network.RelayTarget;
import org.corianderweir.http.HttpAddress;

/** Runs one soak: starts the processes, lets the faults and the load act, and checks. */
public final class SoakRun implements AutoCloseable {
  private static final String HOST = "127.0.0.1";
  private static final String ENTRY_ZONE = "entry";
  private static final String SERVER_ZONE = "servers";
  private static final String STORE_ZONE = "store";
  private static final long FIRST_START_MILLISECONDS = 1_780_000_000_000L;
  private static final double REQUESTS_PER_SECOND = 100_000;
  private static final Duration START_TIMEOUT = Duration.ofSeconds(30);

  /** Time after the last fault in which requests need not be served again. */
  private static final Duration RECOVERY_TIME = Duration.ofSeconds(7);

  /** Ports behind those of the entry instances at which relays of servers listen. */
  private static final int RELAY_PORT_OFFSET = 500;

  /** Port behind those of the relays of servers at which the relay of the store listens. */
  private static final int STORE_PORT_OFFSET = 900;

  private final SoakOptions options;
  private final PrintStream output;
  private final SoakEvidence evidence = new SoakEvidence();
  private final MetadataStoreStandIn store = new MetadataStoreStandIn(HOST, 0);
  private final NetworkConditions conditions = new NetworkConditions();
  private final NetworkRelay network = new NetworkRelay(conditions, host -> ENTRY_ZONE);
  private final List<SoakServer> servers = new ArrayList<>();
  private final EntryProcesses processes;
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final AtomicLong startNumbers = new AtomicLong();
  private long configurationVersion = 1;

  /**
   * The result of a soak.
   *
   * @param seed seed of the run
   * @param faultCount number of faults
   * @param callsByEnding number of requests by how they ended
   * @param violations broken promises, each with the request that shows it
   */
  public record Result(
      long seed, int faultCount, Map<String, Integer> callsByEnding, List<String> violations) {}

  /**
   * Creates a run without starting it.
   *
   * @param directory directory for settings and logs of the processes
   */
  public SoakRun(SoakOptions options, Path directory, PrintStream output) {
    this.options = options;
    this.output = output;
    store.start();
    processes = new EntryProcesses(options, storeRelayAddress(), directory, evidence);
  }

  /** Runs the soak to its end. */
  public Result run() throws InterruptedException, ExecutionException {
    startServers();
    processes.startAll();
    awaitReady();
    List<SoakCaller> callers = new ArrayList<>();
    List<Future<?>> running = new ArrayList<>();
    for (int number = 0; number < options.callerCount(); number++) {
      callers.add(new SoakCaller(number, options, processes, evidence));
      running.add(threads.submit(callers.getLast()));
    }
    FaultPlan plan = FaultPlan.draw(options);
    injectAll(plan);
    Thread.sleep(RECOVERY_TIME.toMillis());
    long calmNanoseconds = System.nanoTime();
    Thread.sleep(Math.max(0, options.calmDuration().minus(RECOVERY_TIME).toMillis()));
    callers.forEach(SoakCaller::stop);
    for (Future<?> caller : running) {
      caller.get();
    }
    return result(plan, calmNanoseconds);
  }

  @Override
  public void close() {
    threads.shutdownNow();
    processes.close();
    network.close();
    servers.forEach(SoakServer::stop);
    store.stop();
  }

  private void startServers() {
    store.put("op/config", configuration());
    network.start();
    network.add(
        RelayTarget.unlimited(
            storeRelayAddress(), new HttpAddress(HOST, store.port()), STORE_ZONE));
    for (int number = 0; number < options.serverCount(); number++) {
      long serverSeed = options.seed() * options.serverCount() + number;
      SoakServer server = new SoakServer("server-" + number, HOST, evidence, serverSeed);
      server.start();
      servers.add(server);
      network.add(
          RelayTarget.unlimited(
              relayAddress(number), new HttpAddress(HOST, server.port()), SERVER_ZONE));
      register(number, 0);
    }
  }

  private HttpAddress storeRelayAddress() {
    return new HttpAddress(HOST, options.firstPort() + STORE_PORT_OFFSET);
  }

  private HttpAddress relayAddress(int server) {
    return new HttpAddress(HOST, options.firstPort() + RELAY_PORT_OFFSET + server);
  }

  private void awaitReady() throws InterruptedException {
    long deadlineNanoseconds = System.nanoTime() + START_TIMEOUT.toNanos();
    SoakCaller probe = new SoakCaller(options.callerCount(), options, processes, evidence);
    for (int instance = 0; instance < options.instanceCount(); instance++) {
      while (!probe.isServed(instance)) {
        if (System.nanoTime() - deadlineNanoseconds > 0) {
          throw new IllegalStateException("entry instance " + instance + " does not start");
        }
        Thread.sleep(100);
      }
    }
  }

  /** Injects the faults at their times and waits for the end of all. */
  private void injectAll(FaultPlan plan) throws InterruptedException, ExecutionException {
    long startNanoseconds = System.nanoTime();
    List<Future<?>> running = new ArrayList<>();
    for (FaultPlan.Entry entry : plan.entries()) {
      long elapsed = System.nanoTime() - startNanoseconds;
      Thread.sleep(Math.max(0, Duration.ofNanos(entry.start().toNanos() - elapsed).toMillis()));
      output.printf("%6d ms %s%n", entry.start().toMillis(), entry.fault());
      running.add(
          threads.submit(
              () -> {
                inject(entry.fault());
                return null;
              }));
    }
    for (Future<?> fault : running) {
      fault.get();
    }
  }

  private void inject(SoakFault fault) throws InterruptedException {
    switch (fault) {
      case SoakFault.Pause pause -> processes.pause(pause.instance(), pause.duration());
      case SoakFault.Kill kill -> processes.kill(kill.instance(), kill.duration());
      case SoakFault.PlannedStop stop -> processes.stopAndStart(stop.instance(), stop.duration());
      case SoakFault.BadServer bad -> {
        SoakServer server = servers.get(bad.server());
        server.setBehaviour(bad.behaviour());
        Thread.sleep(bad.duration().toMillis());
        server.setBehaviour(SoakServer.Behaviour.SOUND);
      }
      case SoakFault.LeavingServer leaving -> leaveAndStartAnew(leaving);
      case SoakFault.BadStore bad -> {
        store.setFault(bad.fault());
        Thread.sleep(bad.duration().toMillis());
        store.setFault(StoreFault.NONE);
      }
      case SoakFault.CutLink cut ->
          harmLinks(() -> cut(SERVER_ZONE, cut.toServers(), cut.fromServers(), cut.duration()));
      case SoakFault.CutStoreLink cut ->
          cut(STORE_ZONE, cut.toStore(), cut.fromStore(), cut.duration());
      case SoakFault.SlowLink slow -> {
        NetworkConditions.Direction towardsServers =
            new NetworkConditions.Direction(ENTRY_ZONE, SERVER_ZONE);
        conditions.setDelay(towardsServers, slow.delay().toNanos());
        Thread.sleep(slow.duration().toMillis());
        conditions.setDelay(towardsServers, 0);
      }
      case SoakFault.ResetLink reset ->
          harmLinks(
              () -> {
                network.truncateResponses(relayAddress(reset.server()), reset.responseBytes());
                Thread.sleep(reset.duration().toMillis());
                network.truncateResponses(relayAddress(reset.server()), Long.MAX_VALUE);
              });
      case SoakFault.ConfigurationChange unused -> changeConfiguration();
    }
  }

  /** A fault of the links to servers, during which answers may be lost. */
  private interface LinkHarm {
    void inflict() throws InterruptedException;
  }

  private void harmLinks(LinkHarm harm) throws InterruptedException {
    long from = System.nanoTime();
    harm.inflict();
    evidence.record(new SoakEvidence.LinkFault(from, System.nanoTime()));
  }

  /** Lets a server say that it leaves, which the store never shows, and start again later. */
  private void leaveAndStartAnew(SoakFault.LeavingServer leaving) throws InterruptedException {
    SoakServer server = servers.get(leaving.server());
    server.setBehaviour(SoakServer.Behaviour.LEAVING);
    Thread.sleep(leaving.duration().toMillis());
    server.setBehaviour(SoakServer.Behaviour.SOUND);
    evidence.record(new SoakEvidence.NewStart(server.identifier(), System.nanoTime()));
    register(leaving.server(), startNumbers.incrementAndGet());
  }

  private void register(int number, long startNumber) {
    store.put(
        "servers/" + servers.get(number).identifier(),
        StoreValues.server(relayAddress(number).toString(), "north-a", "ready")
            .replace("1780000000000", Long.toString(FIRST_START_MILLISECONDS + startNumber)));
  }

  /** Holds back bytes between entry instances and a zone for a duration. */
  private void cut(String zone, boolean towardsZone, boolean fromZone, Duration duration)
      throws InterruptedException {
    setCut(zone, towardsZone, fromZone, true);
    Thread.sleep(duration.toMillis());
    setCut(zone, towardsZone, fromZone, false);
  }

  private void setCut(String zone, boolean towardsZone, boolean fromZone, boolean blocked) {
    if (towardsZone) {
      conditions.setBlocked(new NetworkConditions.Direction(ENTRY_ZONE, zone), blocked);
    }
    if (fromZone) {
      conditions.setBlocked(new NetworkConditions.Direction(zone, ENTRY_ZONE), blocked);
    }
  }

  private synchronized void changeConfiguration() {
    configurationVersion++;
    store.put("op/config", configuration());
  }

  private String configuration() {
    return StoreValues.largeRequestConfiguration(
        configurationVersion, REQUESTS_PER_SECOND, LimitObserver.REQUESTS_PER_SECOND);
  }

  private Result result(FaultPlan plan, long calmNanoseconds) {
    SoakObserver observer = new SoakObserver(evidence);
    Map<String, Integer> callsByEnding = new TreeMap<>();
    for (SoakEvidence.Call call : evidence.calls()) {
      String ending =
          call.ending() instanceof SoakEvidence.Ending.Answered answered
              ? "status " + answered.status()
              : call.ending().getClass().getSimpleName();
      callsByEnding.merge(ending, 1, Integer::sum);
      if (observer.isCutWithoutDisturbance(call)) {
        callsByEnding.merge("Cut without a disturbance", 1, Integer::sum);
      }
    }
    List<String> violations =
        observer.violations(calmNanoseconds).stream()
            .map(violation -> violation.promise() + ": " + violation.evidence())
            .toList();
    return new Result(options.seed(), plan.entries().size(), callsByEnding, violations);
  }
}
