import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A small deployment on loopback: the store stand-in, a configuration and entry instances that are
 * started with the run line of deploy/system.toml and the settings of deploy/settings.ini.
 */
final class Deployment implements AutoCloseable {
  /** A case that takes longer could not run. */
  private static final int LIMIT_MILLISECONDS = 110_000;

  static final String HOST = "127.0.0.1";
  static final String SITE_HOST = "shop.example";
  static final String KEY = "key-of-the-only-tenant";

  final StoreStandIn store;
  final Path folder;
  private final PrintWriter record;
  private final List<Instance> instances = new ArrayList<>();
  private final Map<String, String> changedSettings = new HashMap<>();
  private final long startedNanoseconds = System.nanoTime();

  /** One entry instance; its process can be replaced by a new one. */
  final class Instance {
    final String name;
    final Path settings;
    final int callerPort = freePort();
    final int readinessPort = freePort();
    final int lookupPort = freePort();
    Process process;

    Instance(String name) throws IOException {
      this.name = name;
      settings = folder.resolve(name + ".ini");
      Map<String, String> fields = new HashMap<>();
      fields.put("nodeName", name);
      fields.put("region", "north");
      fields.put("zone", "north-a");
      fields.put("listen.front", HOST + ":" + callerPort);
      fields.put("listen.ready", HOST + ":" + readinessPort);
      fields.put("listen.directory", HOST + ":" + lookupPort);
      fields.put("bounds.ttl_max_s", "5");
      fields.put("portRange.0", Integer.toString(freePort()));
      fields.put("platform.address", HOST + ":" + store.port());
      fields.put("heartbeatMs", "1500");
      fields.put("bounds.graceS", "6");
      fields.put("bounds.retryBudgetRatio", "0.2");
      fields.put("bounds.budgetMargin", "112");
      fields.put("bounds.budgetWindowS", "10");
      fields.put("bounds.quotaOverage", "0.1");
      fields.put("bounds.quotaMargin", "20");
      fields.put("bounds.quotaWindowS", "5");
      fields.put("limits.maxFds", "2870");
      fields.putAll(changedSettings);
      String text = Files.readString(Path.of("deploy/settings.ini"));
      text =
          text.replaceAll(
              "(?m)^availability-zones = .*$", "availability-zones = north-a/north,south-a/south");
      text = text.replaceAll("(?m)^port = 9464$", "port = " + freePort());
      Matcher placeholder = Pattern.compile("\\{\\{([^}]*)}}").matcher(text);
      StringBuilder filled = new StringBuilder();
      while (placeholder.find()) {
        String value = fields.get(placeholder.group(1));
        if (value == null) {
          throw new IOException("no value for " + placeholder.group());
        }
        placeholder.appendReplacement(filled, Matcher.quoteReplacement(value));
      }
      placeholder.appendTail(filled);
      Files.writeString(settings, filled);
    }

    void start() throws IOException {
      String run = "";
      for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
        if (line.startsWith("run = ")) {
          run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        }
      }
      run = run.replace("/etc/corianderweir/settings.toml", settings.toString());
      ProcessBuilder builder = new ProcessBuilder(run.split(" "));
      builder.redirectErrorStream(true);
      builder.redirectOutput(
          ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
      process = builder.start();
      note("started " + name);
    }

    /** Sends a signal to the process that this test started. */
    void signal(String signal) throws IOException, InterruptedException {
      note("signal " + signal + " to " + name);
      new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    boolean isReady() {
      try {
        RawClient client = new RawClient(HOST, readinessPort, 1_000);
        return client.request("GET /api/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", 1_000)
                .status
            == 200;
      } catch (IOException notYet) {
        return false;
      }
    }

    void awaitReady() throws InterruptedException, IOException {
      long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(25);
      while (System.nanoTime() < end) {
        if (isReady()) {
          note(name + " is ready");
          return;
        }
        Thread.sleep(100);
      }
      throw new IOException(name + " is not ready");
    }
  }

  Deployment(Path recordFile) throws IOException {
    folder = Files.createTempDirectory("review");
    record = new PrintWriter(Files.newBufferedWriter(recordFile));
    store = new StoreStandIn(HOST);
    // Ends the processes also if the case itself is ended by a signal.
    Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
    Thread limit =
        new Thread(
            () -> {
              try {
                Thread.sleep(LIMIT_MILLISECONDS);
                System.err.println("the case took too long");
                System.exit(2);
              } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
              }
            });
    limit.setDaemon(true);
    limit.start();
  }

  /** Changes a field of the settings of the instances that are added later. */
  void setting(String field, String value) {
    changedSettings.put(field, value);
  }

  Instance addInstance(String name) throws IOException {
    Instance instance = new Instance(name);
    instances.add(instance);
    return instance;
  }

  /** Writes the registration of a server as PROTOCOL.md shows it. */
  void register(String identifier, int port, String service, int slots, long born) {
    store.put(
        "servers/" + identifier,
        ("{\"address\":\"%s:%d\",\"info\":{\"service\":\"%s\",\"version\":\"v1\",\"zone\":\"north-a\","
                + "\"slots\":%d},\"status\":{\"state\":\"ready\",\"seq\":1,\"coldRemainingMs\":0},"
                + "\"born\":%d}")
            .formatted(HOST, port, service, slots, born));
  }

  /**
   * Writes a configuration: a safe route /view/ to "desk" and an unsafe route /order/ to the given
   * service.
   */
  void configure(int version, String orderService) {
    note("the operator writes version " + version + ": /order/ goes to " + orderService);
    store.put(
        "op/config",
        ("{\"version\":%d,\"routes\":{\"columns\":[\"name\",\"host\",\"pathPrefix\",\"kind\",\"timeoutMs\","
                + "\"targetLatencyMs\",\"priority\",\"backends\",\"maxAttempts\",\"public\",\"sticky\","
                + "\"allowedRegions\",\"service\"],\"rows\":["
                + "[\"view\",\"shop.example\",\"/view/\",\"safe\",4000,600,2,null,2,false,false,[],\"desk\"],"
                + "[\"order\",\"shop.example\",\"/order/\",\"unsafe\",6000,800,1,null,2,false,false,[],\"%s\"]]},"
                + "\"services\":{\"columns\":[\"name\",\"healthPath\",\"maxConns\",\"protocol\",\"tls\",\"coldStartS\",\"coldPerS\"],"
                + "\"rows\":[[\"desk\",\"/health\",660,\"h1\",false,3.0,2.9],[\"hall\",\"/health\",660,\"h1\",false,3.0,2.9]]},"
                + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
                + "\"tenants\":{\"columns\":[\"name\",\"apiKeys\",\"priority\",\"ratePerS\",\"burst\",\"allowedRegions\"],"
                + "\"rows\":[[\"tenant-a\",[\"%s\"],1,0,0,[]]]}}")
            .formatted(version, orderService, KEY));
  }

  static int freePort() {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
      return socket.getLocalPort();
    } catch (IOException failure) {
      throw new IllegalStateException(failure);
    }
  }

  /** Writes one line to record.txt. */
  synchronized void note(String text) {
    long milliseconds = (System.nanoTime() - startedNanoseconds) / 1_000_000;
    record.printf("%7d ms  %s%n", milliseconds, text);
    record.flush();
  }

  private void endProcesses() {
    for (Instance instance : List.copyOf(instances)) {
      if (instance.process != null && instance.process.isAlive()) {
        instance.process.destroyForcibly();
        try {
          instance.process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException interrupted) {
          Thread.currentThread().interrupt();
        }
      }
    }
  }

  @Override
  public void close() throws IOException {
    endProcesses();
    if (System.getenv("KEEP_LOGS") == null) {
      try (var files = Files.walk(folder)) {
        for (Path file : files.sorted((one, other) -> other.compareTo(one)).toList()) {
          Files.delete(file);
        }
      }
    }
    record.close();
  }
}
