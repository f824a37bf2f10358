package org.corianderweir.daemon;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.io.File;
import org.corianderweir.daemon.settings.DaemonSettings;
import org.corianderweir.daemon.settings.SettingsDescription;
import org.corianderweir.daemon.settings.SettingsReader;
import org.corianderweir.model.WeirException;

/** The program {@code corianderweird}. */
public final class DaemonMain {
  private static final int EXIT_USAGE = 2;

  @Parameter(names = "--settings", description = "settings file (INI)")
  private String settingsFile = "";

  @Parameter(names = "--check", description = "only check the settings")
  private boolean checkOnly;

  @Parameter(names = "--describe-settings", description = "list all settings and end")
  private boolean describeSettings;

  @Parameter(names = "--help", description = "show this text", help = true)
  private boolean help;

  private DaemonMain() {}

  /** Runs the daemon until it is told to stop. Exit status 2 means wrong usage or settings. */
  public static void main(String[] arguments) {
    System.exit(new DaemonMain().run(arguments));
  }

  private int run(String[] arguments) {
    JCommander commander = JCommander.newBuilder().programName("corianderweird").build();
    commander.addObject(this);
    try {
      commander.parse(arguments);
      if (help) {
        commander.usage();
        return 0;
      }
      if (describeSettings) {
        SettingsDescription.rows().forEach(System.out::println);
        return 0;
      }
      DaemonSettings settings = SettingsReader.read(new File(settingsFile));
      if (checkOnly) {
        System.out.println("settings are valid: " + settingsFile);
        return 0;
      }
      LogSetup.configure();
      Daemon daemon = new Daemon(settings, new SystemTimeSource());
      daemon.run();
      return 0;
    } catch (ParameterException | WeirException failure) {
      System.err.println(failure.getMessage());
      return EXIT_USAGE;
    }
  }
}
