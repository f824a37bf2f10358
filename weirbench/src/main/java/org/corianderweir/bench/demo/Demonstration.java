package org.corianderweir.bench.demo;

import java.io.File;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.corianderweir.bench.BenchMain;
import org.corianderweir.bench.backend.BackendStandIn;
import org.corianderweir.bench.process.ChildProcesses;
import org.corianderweir.daemon.DaemonMain;
import org.corianderweir.daemon.operator.OperatorService;
import org.corianderweir.daemon.traffic.CallerHeaders;
import org.corianderweir.daemon.traffic.TrafficService;
import org.corianderweir.http.HttpAddress;
import org.corianderweir.http.HttpCall;
import org.corianderweir.http.HttpClient;
import org.corianderweir.http.HttpClientOptions;
import org.corianderweir.http.HttpHeaders;
import org.corianderweir.http.HttpReply;
import org.corianderweir.model.configuration.AvailabilityZone;
import org.corianderweir.model.configuration.BackendServer;
import org.corianderweir.model.configuration.Configuration;
import org.corianderweir.model.configuration.Organisation;
import org.corianderweir.model.configuration.Selector;
import org.corianderweir.model.platform.ListedInstance;
import org.corianderweir.model.request.LookupAnswer;
import org.corianderweir.model.timeline.TimelineEvent;
import org.corianderweir.model.topology.EntryInstance;
import org.corianderweir.protocol.Json;
import org.corianderweir.protocol.OperatorMessages;

/**
 * Starts the whole path as separate processes, sends traffic, changes the configuration while it
 * runs, and checks what callers and backend servers saw.
 */
public final class Demonstration {
  private static final int ZONES = 3;
  private static final int INSTANCES_PER_ZONE = 2;
  private static final int SERVERS_PER_ZONE = 2;
  private static final int SLOTS = 4;
  private static final int CONNECTION_LIMIT = 660;
  private static final int REQUESTS = 30;
  private static final int STATUS_OK = 200;
  private static final String CREDENTIAL = "demo-operators";
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(5);
  private static final Duration START_LIMIT = Duration.ofSeconds(20);
  private static final Duration IN_FORCE_LIMIT = Duration.ofSeconds(5);
  private static final Duration DRAIN_LIMIT = Duration.ofSeconds(3);
  private static final int ANSWER_LIMIT_BYTES = 8 * 1024 * 1024;

  private final int firstPort;
  private final PrintStream output;
  private final List<EntryInstance> instances = new ArrayList<>();
  private final List<BackendServer> servers = new ArrayList<>();
  private final HttpClient client =
      new HttpClient(new HttpClientOptions("demo", CALL_TIMEOUT, CALL_TIMEOUT, ANSWER_LIMIT_BYTES));
  private int broken;

  private record InstanceList(List<ListedInstance> instances) {}

  /**
   * Prepares a run.
   *
   * @param firstPort first of the TCP ports that the processes listen on
   * @param output where the report goes
   */
  public Demonstration(int firstPort, PrintStream output) {
    this.firstPort = firstPort;
    this.output = output;
    for (int zone = 1; zone <= ZONES; zone++) {
      addZone(zone);
    }
  }

  /** Runs the demonstration; returns zero if all promises that it shows were kept. */
  public int run() {
    client.start();
    try (ChildProcesses processes = new ChildProcesses(logDirectory())) {
      startProcesses(processes);
      show(processes);
    } finally {
      client.stop();
    }
    output.println(broken == 0 ? "all promises kept" : broken + " promises broken");
    return broken == 0 ? 0 : 1;
  }

  private void addZone(int zone) {
    String zoneName = zoneName(zone);
    for (int number = 1; number <= INSTANCES_PER_ZONE; number++) {
      instances.add(
          new EntryInstance(
              "entry-" + zone + "-" + number,
              "lagos",
              zoneName,
              "127.1." + zone + "." + number,
              firstPort,
              firstPort + 1,
              firstPort + 2));
    }
    for (int number = 1; number <= SERVERS_PER_ZONE; number++) {
      servers.add(
          new BackendServer(
              "server-" + zone + "-" + number,
              "storefront",
              zoneName,
              "127.1." + zone + "." + (100 + number),
              firstPort,
              SLOTS,
              CONNECTION_LIMIT,
              false,
              List.of()));
    }
  }

  private static String zoneName(int zone) {
    return "lagos-" + zone;
  }

  private void startProcesses(ChildProcesses processes) {
    processes.start(
        "platform",
        BenchMain.class,
        List.of("platform", "--host", "127.1.0.1", "--port", Integer.toString(firstPort)));
    for (int zone = 1; zone <= ZONES; zone++) {
      processes.start("servers-" + zone, BenchMain.class, serverArguments(zoneName(zone)));
    }
    for (EntryInstance instance : instances) {
      processes.start(
          instance.name(),
          DaemonMain.class,
          List.of("--settings", writeSettings(instance).toString()));
    }
    promise("the platform stand-in answers", START_LIMIT, this::publishInstances);
  }

  private List<String> serverArguments(String zone) {
    List<String> arguments = new ArrayList<>(List.of("backend"));
    for (BackendServer server : servers) {
      if (server.availabilityZone().equals(zone)) {
        arguments.add("--server");
        arguments.add(
            String.join(
                "/",
                server.name(),
                server.host(),
                Integer.toString(server.port()),
                Integer.toString(server.slots())));
      }
    }
    return arguments;
  }

  private Path writeSettings(EntryInstance instance) {
    String text =
        """
        [instance]
        name = %s
        region = %s
        availability-zone = %s
        host = %s
        [callers]
        port = %d
        [operators]
        port = %d
        credential = %s
        [peers]
        port = %d
        secret = demo-peers
        [platform]
        host = 127.1.0.1
        port = %d
        """
            .formatted(
                instance.name(),
                instance.region(),
                instance.availabilityZone(),
                instance.host(),
                instance.callerPort(),
                instance.operatorPort(),
                CREDENTIAL,
                instance.peerPort(),
                firstPort);
    try {
      Path file = logDirectory().toPath().resolve(instance.name() + ".ini");
      Files.writeString(file, text);
      return file;
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  private static File logDirectory() {
    File directory = new File(System.getProperty("java.io.tmpdir", "."), "corianderweir-demo");
    directory.mkdirs();
    return directory;
  }

  private boolean publishInstances() {
    List<ListedInstance> listed =
        instances.stream().map(instance -> new ListedInstance(instance, false)).toList();
    HttpCall call =
        new HttpCall(
            "PUT", "/instances", HttpHeaders.NONE, Json.write(new InstanceList(listed)).getBytes());
    return tryCall(new HttpAddress("127.1.0.1", firstPort), call)
        .filter(reply -> reply.status() == STATUS_OK)
        .isPresent();
  }

  private void show(ChildProcesses processes) {
    EntryInstance first = instances.getFirst();
    promise(
        "an operator applies the first configuration",
        START_LIMIT,
        () -> operate(first, "PUT", "/configuration", Json.write(configuration())).isPresent());
    promise(
        "it is in force on all entry instances",
        START_LIMIT,
        () -> instances.stream().allMatch(instance -> revision(instance) >= 1));
    promise("a look-up names three entry instances", IN_FORCE_LIMIT, () -> lookup().size() == 3);
    String key =
        operate(first, "POST", "/keys/issue?identifier=k1&organisation=adebayo", "")
            .map(text -> Json.read(text, OperatorMessages.KeyIssued.class).key())
            .orElse("");
    promise(
        "a key that was just issued is accepted everywhere",
        IN_FORCE_LIMIT,
        () -> instances.stream().allMatch(instance -> status(instance, "/shop", key) == STATUS_OK));
    sendTraffic(key);
    drainServer(first);
    withdrawKey(first, key);
    stopInstance(processes);
    checkJournals();
    summariseTimeline();
  }

  private Configuration configuration() {
    return Configuration.builder()
        .zones(
            Stream.of(1, 2, 3)
                .map(zone -> new AvailabilityZone(zoneName(zone), "lagos", List.of()))
                .toList())
        .organisations(List.of(new Organisation("adebayo", 1_000, 400, 0)))
        .backendServers(servers)
        .selectors(
            List.of(
                new Selector("shop", "/shop", "storefront", false, List.of()),
                new Selector("stock", "/stock", "storefront", true, List.of())))
        .build();
  }

  private void sendTraffic(String key) {
    long keyed =
        Stream.generate(() -> key)
            .limit(REQUESTS)
            .filter(shown -> status(someInstance(), "/shop", shown) == STATUS_OK)
            .count();
    check(keyed == REQUESTS, keyed + " of " + REQUESTS + " keyed requests answered");
    long open =
        Stream.generate(() -> "")
            .limit(REQUESTS)
            .filter(none -> status(someInstance(), "/stock", none) == STATUS_OK)
            .count();
    check(open == REQUESTS, open + " of " + REQUESTS + " open requests answered");
    int missing = status(someInstance(), "/shop", "");
    check(missing == 401, "a keyed route without a key is refused with 401");
  }

  private void drainServer(EntryInstance instance) {
    String server = servers.getFirst().name();
    operate(instance, "POST", "/drain?server=" + server, "");
    promise(
        "the drain of " + server + " is in force everywhere",
        DRAIN_LIMIT,
        () -> inForceEverywhere(changed -> isDrained(changed, server)));
    int before = journal(servers.getFirst()).size();
    for (int count = 0; count < REQUESTS; count++) {
      status(someInstance(), "/stock", "");
    }
    int after = journal(servers.getFirst()).size();
    check(before == after, "the drained server got no new request");
  }

  private static boolean isDrained(Configuration configuration, String server) {
    return configuration.backendServers().stream()
        .anyMatch(known -> known.name().equals(server) && known.drained());
  }

  private void withdrawKey(EntryInstance instance, String key) {
    operate(instance, "POST", "/keys/withdraw?identifier=k1", "");
    promise(
        "the withdrawn key is refused by all entry instances",
        IN_FORCE_LIMIT,
        () -> instances.stream().allMatch(each -> status(each, "/shop", key) == 401));
  }

  private void stopInstance(ChildProcesses processes) {
    EntryInstance leaving = instances.getLast();
    Process process = processes.get(leaving.name());
    process.destroy();
    promise(
        "look-ups no longer name the instance that leaves",
        IN_FORCE_LIMIT,
        () -> lookup().stream().noneMatch(name -> name.equals(leaving.name())));
    try {
      boolean ended = process.waitFor(START_LIMIT.toSeconds(), TimeUnit.SECONDS);
      check(ended && process.exitValue() == 0, "a planned stop ended with exit status 0");
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
    instances.removeLast();
  }

  private void checkJournals() {
    List<BackendStandIn.JournalEntry> entries =
        servers.stream().flatMap(server -> journal(server).stream()).toList();
    check(
        entries.stream().noneMatch(BackendStandIn.JournalEntry::keySeen),
        "no backend server saw a key (" + entries.size() + " requests ran)");
    long distinct = entries.stream().map(BackendStandIn.JournalEntry::request).distinct().count();
    check(distinct == entries.size(), "every request ran at most once");
    boolean rightOrganisation =
        entries.stream()
            .filter(entry -> entry.target().startsWith("/shop"))
            .allMatch(entry -> entry.organisation().equals("adebayo"));
    check(rightOrganisation, "keyed requests ran for the organisation of their key");
  }

  private void summariseTimeline() {
    List<TimelineEvent> events =
        instances.stream()
            .flatMap(instance -> operate(instance, "GET", "/timeline", "").stream())
            .flatMap(text -> Json.read(text, OperatorMessages.Timeline.class).events().stream())
            .sorted((left, right) -> left.timestamp().compareTo(right.timestamp()))
            .toList();
    check(!events.isEmpty(), "the time line has " + events.size() + " events");
    events.stream()
        .filter(event -> event.code().number() < 3000)
        .forEach(
            event ->
                output.printf(
                    "  %d.%d %s %s %s %s%n",
                    event.timestamp().wallMilliseconds(),
                    event.timestamp().counter(),
                    event.process(),
                    event.code().title(),
                    event.subject(),
                    event.detail()));
  }

  private EntryInstance someInstance() {
    EntryInstance instance = instances.removeFirst();
    instances.addLast(instance);
    return instance;
  }

  private List<String> lookup() {
    HttpCall call = HttpCall.of("GET", TrafficService.LOOKUP_PATH + "?client=127.9.9.9");
    return tryCall(callers(instances.getFirst()), call)
        .filter(reply -> reply.status() == STATUS_OK)
        .map(reply -> Json.read(reply.bodyText(), LookupAnswer.class))
        .map(answer -> answer.entryInstances().stream().map(LookupAnswer.Endpoint::name).toList())
        .orElse(List.of());
  }

  private int status(EntryInstance instance, String path, String key) {
    HttpHeaders headers =
        key.isEmpty() ? HttpHeaders.NONE : HttpHeaders.NONE.with(CallerHeaders.KEY, key);
    HttpCall call = new HttpCall("GET", path, headers, new byte[0]);
    return tryCall(callers(instance), call).map(HttpReply::status).orElse(0);
  }

  private long revision(EntryInstance instance) {
    return operate(instance, "GET", "/status", "")
        .map(text -> Json.read(text, OperatorMessages.Status.class).revision())
        .orElse(0L);
  }

  private boolean inForceEverywhere(Predicate<Configuration> condition) {
    return instances.stream()
        .allMatch(
            instance ->
                operate(instance, "GET", "/configuration", "")
                    .map(text -> Json.read(text, Configuration.class))
                    .filter(condition)
                    .isPresent());
  }

  private List<BackendStandIn.JournalEntry> journal(BackendServer server) {
    return tryCall(
            new HttpAddress(server.host(), server.port()), HttpCall.of("GET", "/.server/journal"))
        .map(reply -> Json.read(reply.bodyText(), BackendStandIn.Journal.class).entries())
        .orElse(List.of());
  }

  private Optional<String> operate(
      EntryInstance instance, String method, String target, String body) {
    HttpHeaders headers = HttpHeaders.NONE.with(OperatorService.CREDENTIAL_HEADER, CREDENTIAL);
    HttpCall call = new HttpCall(method, target, headers, body.getBytes());
    return tryCall(new HttpAddress(instance.host(), instance.operatorPort()), call)
        .filter(reply -> reply.status() == STATUS_OK)
        .map(HttpReply::bodyText);
  }

  private static HttpAddress callers(EntryInstance instance) {
    return new HttpAddress(instance.host(), instance.callerPort());
  }

  private Optional<HttpReply> tryCall(HttpAddress address, HttpCall call) {
    try {
      return Optional.of(client.exchange(address, call, CALL_TIMEOUT).join());
    } catch (CompletionException failure) {
      return Optional.empty();
    }
  }

  private void promise(String text, Duration limit, BooleanSupplier condition) {
    long begin = System.nanoTime();
    boolean kept = condition.getAsBoolean();
    while (!kept && System.nanoTime() - begin < limit.toNanos()) {
      sleep();
      kept = condition.getAsBoolean();
    }
    long milliseconds = Duration.ofNanos(System.nanoTime() - begin).toMillis();
    check(kept, text + " (" + milliseconds + " ms)");
  }

  private void check(boolean kept, String text) {
    output.println((kept ? "kept    " : "BROKEN  ") + text);
    if (!kept) {
      broken++;
    }
  }

  private static void sleep() {
    try {
      Thread.sleep(50);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }
}
