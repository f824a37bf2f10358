package org.corianderweir.bench;

import com.beust.jcommander.Parameter;
import org.corianderweir.bench.training.TrainingPlatform;

/**
 * Runs the stand-ins for recording the classes of an entry instance until the process is killed.
 */
final class TrainingCommand implements BenchMain.Command {
  @Parameter(names = "--store-port", required = true, description = "TCP port of the store")
  private int storePort;

  @Override
  public int run() throws InterruptedException {
    try (TrainingPlatform platform = new TrainingPlatform(storePort)) {
      platform.start();
      platform.changeRepeatedly();
      return 0;
    }
  }
}
