package org.corianderweir.bench;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import org.corianderweir.bench.backend.BackendStandIn;
import org.corianderweir.bench.backend.JournalFile;
import org.corianderweir.bench.backend.ServerSpecification;
import org.corianderweir.bench.choice.ChoiceExperiment;
import org.corianderweir.bench.configuration.InForceExperiment;
import org.corianderweir.bench.demo.Demonstration;
import org.corianderweir.bench.deployment.DeploymentFiles;
import org.corianderweir.bench.limits.LimitsExperiment;
import org.corianderweir.bench.limits.ScaleExperiment;
import org.corianderweir.bench.lookup.LookupExperiment;
import org.corianderweir.bench.overhead.OverheadMeasurement;
import org.corianderweir.bench.platform.PlatformRates;
import org.corianderweir.bench.platform.PlatformStandIn;
import org.corianderweir.daemon.SystemTimeSource;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.OptionsBuilder;

/** The program {@code weirbench}, whose commands run stand-ins, experiments and benchmarks. */
public final class BenchMain {
  private static final int EXIT_USAGE = 2;

  private BenchMain() {}

  /** A command of the program. */
  interface Command {
    /** Runs the command and returns the exit status of the program. */
    int run() throws InterruptedException;
  }

  /** Runs a stand-in for the platform until the process is killed. */
  private static final class PlatformCommand implements Command {
    @Parameter(names = "--host", required = true, description = "IP address to listen on")
    private String host = "";

    @Parameter(names = "--port", required = true, description = "TCP port to listen on")
    private int port;

    @Parameter(
        names = "--writes-per-second",
        description = "maximum writes per second; the rest is refused")
    private int writesPerSecond = PlatformRates.DEFAULT.writesPerSecond();

    @Parameter(
        names = "--reads-per-second",
        description = "maximum reads per second; the rest is refused")
    private int readsPerSecond = PlatformRates.DEFAULT.readsPerSecond();

    @Override
    public int run() throws InterruptedException {
      PlatformRates rates = new PlatformRates(writesPerSecond, readsPerSecond);
      new PlatformStandIn(host, port, rates, new SystemTimeSource()).start();
      new CountDownLatch(1).await();
      return 0;
    }
  }

  /** Runs stand-in backend servers of one availability zone until the process is killed. */
  private static final class BackendCommand implements Command {
    @Parameter(
        names = "--server",
        required = true,
        description = "name/host/port/slots/service ms/cold ms/cold factor; may be repeated")
    private List<String> servers = new ArrayList<>();

    @Parameter(names = "--journal", description = "file to which the request journals are written")
    private String journal = "";

    @Override
    public int run() throws InterruptedException {
      JournalFile file =
          journal.isEmpty() ? JournalFile.none() : JournalFile.create(Path.of(journal));
      for (String server : servers) {
        new BackendStandIn(ServerSpecification.fromArgument(server), file).start();
      }
      new CountDownLatch(1).await();
      return 0;
    }
  }

  /** Runs the demonstration of the system. */
  private static final class DemoCommand implements Command {
    @Parameter(names = "--deployment", description = "name of a file in deployments/")
    private String deployment = "adebayo";

    @Parameter(names = "--first-port", description = "first TCP port that is used")
    private int firstPort = 20_000;

    @Override
    public int run() {
      return new Demonstration(DeploymentFiles.read(deployment), firstPort, System.out).run();
    }
  }

  /** Measures the memory and load time of the look-up table. */
  private static final class LookupCommand implements Command {
    @Parameter(names = "--blocks", description = "number of client blocks")
    private int blocks = 2_500_000;

    @Parameter(names = "--seed", description = "seed of the generated blocks")
    private long seed = 1;

    @Override
    public int run() throws InterruptedException {
      return new LookupExperiment(blocks, seed, System.out).run();
    }
  }

  /** Measures how long changes of the configuration take to come into force. */
  private static final class InForceCommand implements Command {
    @Parameter(names = "--daemons", description = "number of daemons in six zones")
    private int daemons = 18;

    @Parameter(names = "--changes", description = "number of changes")
    private int changes = 30;

    @Parameter(names = "--first-port", description = "first TCP port that is used")
    private int firstPort = 21_000;

    @Parameter(names = "--seed", description = "seed of the random choice of daemons")
    private long seed = 1;

    @Override
    public int run() throws InterruptedException {
      return new InForceExperiment(daemons, changes, firstPort, seed, System.out).run();
    }
  }

  /** Runs the JMH benchmarks whose names match a regular expression. */
  private static final class BenchmarkCommand implements Command {
    @Parameter(names = "--include", description = "regular expression of benchmark names")
    private String include = ".*";

    @Override
    public int run() {
      try {
        new Runner(new OptionsBuilder().include(include).addProfiler("gc").build()).run();
        return 0;
      } catch (RunnerException failure) {
        System.err.println(failure.getMessage());
        return 1;
      }
    }
  }

  /** Compares rate limiters, or counts their messages in fleets of growing size. */
  private static final class LimitsCommand implements Command {
    @Parameter(names = "--seed", description = "seed of the arrivals")
    private long seed = 1;

    @Parameter(
        names = "--scale",
        description = "count loan messages in fleets of growing size instead")
    private boolean scale;

    @Override
    public int run() {
      if (scale) {
        new ScaleExperiment(seed).run(6, 3, System.out);
        new ScaleExperiment(seed).run(10, 9, System.out);
        new ScaleExperiment(seed).run(18, 25, System.out);
        new ScaleExperiment(seed).run(40, 68, System.out);
        return 0;
      }
      return new LimitsExperiment(seed, System.out).run();
    }
  }

  /** Measures the latency that an entry instance adds to requests. */
  private static final class OverheadCommand implements Command {
    @Parameter(names = "--seed", description = "seed of the random numbers")
    private long seed = 1;

    @Parameter(names = "--rate", description = "requests per second")
    private double requestsPerSecond = 500;

    @Parameter(names = "--deployment", description = "name of a file in deployments/")
    private String deployment = "adebayo";

    @Parameter(names = "--first-port", description = "first TCP port that is used")
    private int firstPort = 20_000;

    @Override
    public int run() {
      return new OverheadMeasurement(
              DeploymentFiles.read(deployment), requestsPerSecond, firstPort, System.out)
          .run(seed);
    }
  }

  /** Compares strategies for choosing a backend server. */
  private static final class ChoiceCommand implements Command {
    @Parameter(names = "--seed", description = "seed of the random numbers")
    private long seed = 1;

    @Override
    public int run() {
      new ChoiceExperiment(System.out).run(seed);
      return 0;
    }
  }

  /**
   * Runs the command that the arguments name and ends the process with its exit status, or with 2
   * for wrong usage.
   */
  public static void main(String[] arguments) throws InterruptedException {
    Map<String, Command> commands =
        Map.ofEntries(
            Map.entry("platform", new PlatformCommand()),
            Map.entry("backend", new BackendCommand()),
            Map.entry("demo", new DemoCommand()),
            Map.entry("limits-experiment", new LimitsCommand()),
            Map.entry("run", new RunCommand()),
            Map.entry("in-force", new InForceCommand()),
            Map.entry("look-up", new LookupCommand()),
            Map.entry("benchmark", new BenchmarkCommand()),
            Map.entry("choice-experiment", new ChoiceCommand()),
            Map.entry("overhead", new OverheadCommand()),
            Map.entry("relays", new RelaysCommand()),
            Map.entry("soak", new SoakCommand()),
            Map.entry("bodies", new BodiesCommand()),
            Map.entry("clients", new ClientsCommand()),
            Map.entry("start", new StartCommand()),
            Map.entry("training", new TrainingCommand()));
    JCommander commander = JCommander.newBuilder().programName("weirbench").build();
    commands.forEach(commander::addCommand);
    try {
      commander.parse(arguments);
    } catch (ParameterException failure) {
      System.err.println(failure.getMessage());
      System.exit(EXIT_USAGE);
    }
    Command command = commands.get(String.valueOf(commander.getParsedCommand()));
    if (command == null) {
      commander.usage();
      System.exit(EXIT_USAGE);
      return;
    }
    System.exit(command.run());
  }
}
