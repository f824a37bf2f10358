package org.corianderweir.daemon;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.io.File;
import java.util.List;
import org.corianderweir.daemon.settings.DaemonSettingDeclarations;
import org.corianderweir.daemon.settings.DaemonSettings;
import org.corianderweir.daemon.settings.EntrySettingDeclarations;
import org.corianderweir.daemon.settings.EntrySettings;
import org.corianderweir.daemon.settings.Setting;
import org.corianderweir.daemon.settings.SettingsDescription;
import org.corianderweir.daemon.settings.SettingsReader;
import org.corianderweir.model.WeirException;

/** The command line program {@code corianderweird}. */
public final class DaemonMain {
  private static final int EXIT_FAILED = 1;
  private static final int EXIT_USAGE = 2;

  @Parameter(names = "--settings", description = "settings file (INI)")
  private String settingsFile = "";

  @Parameter(
      names = "--platform",
      description = "take configuration, servers and members from the platform's store")
  private boolean usePlatformStore;

  @Parameter(names = "--check", description = "only check the settings")
  private boolean checkOnly;

  @Parameter(names = "--describe-settings", description = "list all settings and end")
  private boolean describeSettings;

  @Parameter(names = "--help", description = "show this text", help = true)
  private boolean help;

  private DaemonMain() {}

  /**
   * Runs the daemon until it is stopped. Exit status 1 means that the daemon could not run, 2 that
   * the command line or the settings are invalid.
   */
  public static void main(String[] arguments) {
    System.exit(run(arguments));
  }

  /** Runs the program and returns its exit status. */
  static int run(String[] arguments) {
    DaemonMain options = new DaemonMain();
    JCommander commander =
        JCommander.newBuilder().programName("corianderweird").addObject(options).build();
    try {
      commander.parse(arguments);
    } catch (ParameterException failure) {
      System.err.println(failure.getMessage());
      return EXIT_USAGE;
    }
    if (options.help) {
      commander.usage();
      return 0;
    }
    if (options.describeSettings) {
      List<Setting<?>> declarations =
          options.usePlatformStore
              ? EntrySettingDeclarations.all()
              : DaemonSettingDeclarations.all();
      SettingsDescription.rows(declarations).forEach(System.out::println);
      return 0;
    }
    if (options.settingsFile.isEmpty()) {
      System.err.println("--settings FILE is missing; --help lists the options");
      return EXIT_USAGE;
    }
    return options.runWithSettings();
  }

  private int runWithSettings() {
    Runnable daemon;
    try {
      daemon = usePlatformStore ? entryDaemon() : standaloneDaemon();
    } catch (WeirException invalid) {
      System.err.println(invalid.getMessage());
      return EXIT_USAGE;
    }
    if (checkOnly) {
      System.out.println("settings are valid: " + settingsFile);
      return 0;
    }
    try {
      if (usePlatformStore) {
        LogSetup.configureLogfmt();
      } else {
        LogSetup.configure();
      }
      daemon.run();
      return 0;
    } catch (WeirException failure) {
      System.err.println(failure.code() + ": " + failure.getMessage());
      return EXIT_FAILED;
    } catch (RuntimeException failure) {
      // Without an exit, threads that are still running would keep the process alive.
      failure.printStackTrace();
      return EXIT_FAILED;
    }
  }

  private Runnable entryDaemon() {
    File file = new File(settingsFile);
    EntrySettings settings = EntrySettingDeclarations.read(file);
    return () -> new EntryDaemon(file, settings, new SystemTimeSource()).run();
  }

  private Runnable standaloneDaemon() {
    DaemonSettings settings = SettingsReader.read(new File(settingsFile));
    return () -> new Daemon(settings, new SystemTimeSource()).run();
  }
}
